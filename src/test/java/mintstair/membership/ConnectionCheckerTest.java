package mintstair.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.Map;
import mintstair.membership.swim.Swim;
import org.junit.jupiter.api.Test;

class ConnectionCheckerTest {
    /** Guards against a fleet of which most go at once: a check that is not begun makes a killed process a lost machine. */
    @Test
    void thousandChecksAreOutAtOnceAndNoMoreThanThat() throws IOException {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        Map<Long, Swim.Check> results = new HashMap<>();
        try (Selector selector = Selector.open();
                ServerSocket mute = new ServerSocket(0, 2_000, local)) {
            ConnectionChecker checks =
                    new ConnectionChecker(selector, "me", new InetSocketAddress(local, 0), results::put);
            InetSocketAddress address = new InetSocketAddress(local, mute.getLocalPort());
            for (long i = 0; i < 1_024; i++) {
                checks.begin(0, i, "other", address);
            }
            assertTrue(results.isEmpty(), "none is given up before its time");
            checks.begin(0, 1_024, "other", address);
            assertEquals(Map.of(1_024L, Swim.Check.SILENT), results);
            checks.expire(250_000);
            assertEquals(1_025, results.size());
            checks.close();
        }
    }
}
