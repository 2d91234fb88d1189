package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import mintstair.standin.Client;
import org.junit.jupiter.api.Test;

class WarmUpTest extends ServiceFixture {
    @Test
    void requestCountDecreasesWithTheFleetSizeDownToAMinimum() {
        assertTrue(WarmUp.requestCount(2) > 2 * WarmUp.requestCount(14));
        assertTrue(WarmUp.requestCount(1000) == WarmUp.requestCount(100));
    }

    /** Guards against a start that waits for the timeout: the simulated hosts reply at once. */
    @Test
    void allRequestsAreCompletedAndNoneReachesTheServingRouter() throws IOException {
        serve(TestSettings.defaults(), 10, 2, host("r", 9, false));

        assertTrue(WarmUp.run(TestSettings.defaults(), address(), Duration.ofSeconds(30)));

        Client.Pg client = client();
        client.raw(Client.Pg.query("SHOW counters"));
        assertTrue(client.answer().contains("taken=0 served=0 "));
    }

    private InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port());
    }
}
