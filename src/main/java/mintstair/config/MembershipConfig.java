package mintstair.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The configuration of this proxy's membership in a fleet.
 *
 * @param fleet the name of the fleet; messages from members of other fleets are ignored
 * @param listen the address on which this member receives messages
 * @param advertise the address at which other members reach this one; null for the address it listens on
 * @param seeds the addresses of the members that this one contacts first to join
 * @param periodMicros the period of the membership protocol, in microseconds
 */
public record MembershipConfig(
        String fleet, InetSocketAddress listen, String advertise, List<String> seeds, long periodMicros) {
    private static final Set<String> KEYS = Set.of("fleet", "listen", "advertise", "seeds", "period_s");
    /** Bounds the size of a datagram, which holds many addresses. */
    private static final int MAX_ADDRESS_CHARACTERS = 64;

    private static final Pattern ADDRESS = Pattern.compile("[!-~]{1," + MAX_ADDRESS_CHARACTERS + "}");
    private static final double DEFAULT_PERIOD_SECONDS = 0.4;
    private static final double MIN_PERIOD_SECONDS = 0.05;
    private static final double MAX_PERIOD_SECONDS = 60;
    private static final double MICROS_PER_SECOND = 1e6;

    static MembershipConfig read(JsonObject json) {
        json.requireKnownKeys(KEYS, "membership: ");
        String fleet = json.text("fleet");
        InetSocketAddress listen = NodeConfig.parseAddress(json.text("listen"));
        String advertised = json.textOrNull("advertise");
        String advertise = advertised == null ? null : address(json, "advertise", advertised);
        if (listen.isUnresolved()) {
            throw json.error("listen", "membership: cannot resolve the host of listen: " + listen.getHostString());
        }
        if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
            throw json.error("advertise", "membership: advertise is required if listen is a wildcard address");
        }
        List<String> seeds = seeds(json);
        return new MembershipConfig(fleet, listen, advertise, seeds, periodMicros(json));
    }

    private static List<String> seeds(JsonObject json) {
        if (!(json.get("seeds") instanceof List<?> listed)) {
            throw json.error("seeds", "membership: seeds must be a list of addresses");
        }
        List<String> seeds = new ArrayList<>();
        for (Object seed : listed) {
            seeds.add(address(json, "seeds", String.valueOf(seed)));
        }
        return List.copyOf(seeds);
    }

    private static long periodMicros(JsonObject json) {
        double seconds = json.has("period_s") ? json.number("period_s", Double.NaN) : DEFAULT_PERIOD_SECONDS;
        if (!(seconds >= MIN_PERIOD_SECONDS && seconds <= MAX_PERIOD_SECONDS)) {
            throw json.error("period_s", "membership: period_s must be from 0.05 to 60");
        }
        return (long) (seconds * MICROS_PER_SECOND);
    }

    private static String address(JsonObject json, String key, String text) {
        NodeConfig.parseAddress(text);
        if (!ADDRESS.matcher(text).matches()) {
            throw json.error(
                    key,
                    "membership: " + key + " must have at most " + MAX_ADDRESS_CHARACTERS
                            + " printable ASCII characters");
        }
        return text;
    }
}
