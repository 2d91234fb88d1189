package mintstair.serve;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** How many sockets listen on an address, as the kernel lists them. */
final class Listeners {
    private static final Path TABLE = Path.of("/proc/net/tcp");
    private static final String LISTENS = "0A";

    private Listeners() { }

    /** Of all processes; 0 where the system has no such table. */
    static int at(InetSocketAddress address) {
        try {
            return count(Files.readAllLines(TABLE), address);
        } catch (IOException e) {
            return 0;
        }
    }

    /** The table's addresses are in the order of a little-endian machine, in hexadecimal. */
    static int count(List<String> table, InetSocketAddress address) {
        InetAddress ip = address.getAddress();
        byte[] b = ip.getAddress();
        if (b.length != 4) {
            return 0;
        }
        String wanted = String.format(Locale.ROOT, "%02X%02X%02X%02X:%04X", b[3], b[2], b[1], b[0], address.getPort());
        int count = 0;
        for (String line : table) {
            String[] words = line.strip().split("\\s+");
            count += words.length > 3 && words[1].equals(wanted) && words[3].equals(LISTENS) ? 1 : 0;
        }
        return count;
    }
}
