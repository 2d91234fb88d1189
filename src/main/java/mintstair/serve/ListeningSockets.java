package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Counts the sockets of all processes that listen on an address, using the kernel's tables in {@code /proc/net}. */
final class ListeningSockets {
    /** Both tables are read: a dual-stack process listens with an IPv6 socket, which only the second table contains. */
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

    /** The kernel's code of the state LISTEN. */
    private static final String LISTEN = "0A";

    private static final int LOCAL_ADDRESS_COLUMN = 1;
    private static final int STATE_COLUMN = 3;
    private static final int WORD_BYTES = 4;
    /** The prefix of an IPv4-mapped IPv6 address in the format of the tables. */
    private static final String IPV4_MAPPED_PREFIX = "0000000000000000FFFF0000";

    private ListeningSockets() {}

    /** Returns the number of sockets that listen on the address; 0 on a system without these tables. */
    static int countAt(InetSocketAddress address) {
        int count = 0;
        for (Path table : TABLES) {
            try {
                count += count(Files.readAllLines(table), address);
            } catch (IOException e) {
                // The kernel does not support this IP version, so it has no such table and no such listener.
            }
        }
        return count;
    }

    /** Counts the sockets of one table that listen on the address, including in its IPv4-mapped form. */
    static int count(List<String> table, InetSocketAddress address) {
        String ip = toTableFormat(address.getAddress().getAddress());
        String local = ip + String.format(Locale.ROOT, ":%04X", address.getPort());
        int count = 0;
        for (String line : table) {
            String[] columns = line.strip().split("\\s+");
            if (columns.length > STATE_COLUMN
                    && columns[STATE_COLUMN].equals(LISTEN)
                    && matches(columns[LOCAL_ADDRESS_COLUMN], local)) {
                count++;
            }
        }
        return count;
    }

    private static boolean matches(String column, String local) {
        return column.equals(local) || column.equals(IPV4_MAPPED_PREFIX + local);
    }

    /** Formats an address as the tables do: each four bytes are one little-endian number. */
    private static String toTableFormat(byte[] ip) {
        StringBuilder text = new StringBuilder();
        for (int word = 0; word < ip.length; word += WORD_BYTES) {
            for (int i = WORD_BYTES - 1; i >= 0; i--) {
                text.append(String.format(Locale.ROOT, "%02X", ip[word + i]));
            }
        }
        return text.toString();
    }
}
