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
    /** Guards the bound for a fleet of which most go at once: a check that is not started finds no crashed process. */
    @Test
    void aThousandChecksRunAtOnceAndNoMore() throws IOException {
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
            assertTrue(results.isEmpty(), "no check ends before its time");

            checker.start(0, 1_024, "other", address);
            assertEquals(Map.of(1_024L, ConnectionCheckResult.UNRESPONSIVE), results);

            checker.expire(250_000);
            assertEquals(1_025, results.size());
        }
    }
}
