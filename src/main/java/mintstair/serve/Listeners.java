package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** How many sockets listen on an address, as the kernel lists them. */
final class Listeners {
    /** A process that speaks both versions of IP listens on an IPv4 address by a socket of IPv6. */
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

    private static final String LISTENS = "0A";
    private static final int LOCAL_ADDRESS = 1;
    private static final int STATE = 3;
    private static final int IPV4_BYTES = 4;
    /** What stands before an IPv4 address in one of IPv6, as the tables have it. */
    private static final String MAPPED = "0000000000000000FFFF0000";

    private Listeners() {}

    /** Of all processes; 0 where the system has no such tables. */
    static int at(InetSocketAddress address) {
        int count = 0;
        for (Path table : TABLES) {
            try {
                count += count(Files.readAllLines(table), address);
            } catch (IOException e) {
                // This system does not speak this version.
            }
        }
        return count;
    }

    /** Those of one table on this address, or on the same one as the other version of IP has it. */
    static int count(List<String> table, InetSocketAddress address) {
        String ip = hexadecimal(address.getAddress().getAddress());
        String port = String.format(Locale.ROOT, ":%04X", address.getPort());
        int count = 0;
        for (String line : table) {
            String[] words = line.strip().split("\\s+");
            if (words.length > STATE && words[STATE].equals(LISTENS)) {
                count += words[LOCAL_ADDRESS].equals(ip + port) || words[LOCAL_ADDRESS].equals(MAPPED + ip + port)
                        ? 1
                        : 0;
            }
        }
        return count;
    }

    /** The tables have each four bytes in the order of a little-endian machine. */
    private static String hexadecimal(byte[] ip) {
        StringBuilder text = new StringBuilder();
        for (int word = 0; word < ip.length; word += IPV4_BYTES) {
            for (int i = IPV4_BYTES - 1; i >= 0; i--) {
                text.append(String.format(Locale.ROOT, "%02X", ip[word + i]));
            }
        }
        return text.toString();
    }
}
