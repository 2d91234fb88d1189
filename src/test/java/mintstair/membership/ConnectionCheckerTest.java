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
import mintstair.membership.swim.ConnectionCheckResult;
import org.junit.jupiter.api.Test;

class ConnectionCheckerTest {
    /**
     * Guards the limit of concurrent checks. If most members of a large fleet crash at once, a check that exceeds the
     * limit is reported as unresponsive and does not detect the crash.
     */
    @Test
    void runs1024ChecksConcurrentlyAndReportsFurtherOnesAsUnresponsive() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        Map<Long, ConnectionCheckResult> results = new HashMap<>();
        try (Selector selector = Selector.open();
                ServerSocket unresponsive = new ServerSocket(0, 2_000, loopback);
                ConnectionChecker checker =
                        new ConnectionChecker(selector, "me", new InetSocketAddress(loopback, 0), results::put)) {
            InetSocketAddress address = new InetSocketAddress(loopback, unresponsive.getLocalPort());
            for (long sequence = 0; sequence < 1_024; sequence++) {
                checker.start(0, sequence, "other", address);
            }
            assertTrue(results.isEmpty(), "a check ended before its timeout");

            checker.start(0, 1_024, "other", address);
            assertEquals(Map.of(1_024L, ConnectionCheckResult.UNRESPONSIVE), results);

            checker.expire(250_000);
            assertEquals(1_025, results.size());
        }
    }
}
