package mintstair.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The fleet that this proxy is a member of: its name, the address where this one takes messages of the others and the one at which
 * they reach it, some that it asks first, and the period of its protocol in microseconds.
 */
public record MembershipConfig(
        String fleet, InetSocketAddress listen, String advertise, List<String> seeds, long period) {
    private static final Set<String> NAMES = Set.of("fleet", "listen", "advertise", "seeds", "period_s");
    /** What goes into datagrams beside others of its kind. */
    private static final int LONGEST_ADDRESS = 64;

    private static final double PERIOD = 0.4;

    static MembershipConfig read(Map<?, ?> m) {
        for (Object name : m.keySet()) {
            if (!NAMES.contains(name)) {
                throw new ConfigException("membership: unknown setting " + name);
            }
        }
        String fleet = NodeConfig.text(m, "fleet");
        InetSocketAddress listen = NodeConfig.address(NodeConfig.text(m, "listen"));
        String advertise = m.get("advertise") == null ? null : address(NodeConfig.text(m, "advertise"));
        if (listen.isUnresolved()) {
            throw new ConfigException("membership: no address " + listen.getHostString());
        }
        if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
            throw new ConfigException("membership: advertise is needed where listen is any address");
        }
        List<String> seeds = new ArrayList<>();
        if (!(m.get("seeds") instanceof List<?> list)) {
            throw new ConfigException("membership: seeds is a list of addresses");
        }
        for (Object each : list) {
            seeds.add(address(String.valueOf(each)));
        }
        double period =
                m.get("period_s") == null ? PERIOD : m.get("period_s") instanceof Number n ? n.doubleValue() : 0;
        if (!(period >= 0.05 && period <= 60)) {
            throw new ConfigException("membership: period_s must be from 0.05 to 60");
        }
        return new MembershipConfig(fleet, listen, advertise, List.copyOf(seeds), (long) (period * 1e6));
    }

    private static String address(String text) {
        NodeConfig.address(text);
        if (!text.matches("[!-~]{1," + LONGEST_ADDRESS + "}")) {
            throw new ConfigException(
                    "membership: an address has at most " + LONGEST_ADDRESS + " printable ASCII characters");
        }
        return text;
    }
}
