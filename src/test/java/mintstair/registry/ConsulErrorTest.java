package mintstair.registry;

import static mintstair.registry.RecordingClient.config;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.config.RegistryConfig.Kind;
import mintstair.program.Program;
import org.junit.jupiter.api.Test;

/**
 * Guards against a call that never ends when a Consul agent rejects it with a body of line ends only. Splitting such a
 * body into lines gives an empty array, and taking its first element threw before the failure was reported, so that the
 * client waited until the call timed out.
 */
class ConsulErrorTest {
    private static final byte[] LINE_ENDS = "\n\n".getBytes(StandardCharsets.UTF_8);

    @Test
    void rejectionIsReportedIfItsBodyHasOnlyLineEnds() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        HttpServer agent = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        agent.createContext("/", exchange -> {
            calls.incrementAndGet();
            exchange.sendResponseHeaders(500, LINE_ENDS.length);
            exchange.getResponseBody().write(LINE_ENDS);
            exchange.close();
        });
        agent.start();
        try (RecordingClient client =
                new RecordingClient(config(Kind.CONSUL, agent.getAddress().getPort()), 1)) {
            Program.await(() -> calls.get() >= 1, "a call");
            client.awaitCount("breaks_busy", 1);
        } finally {
            agent.stop(0);
        }
    }
}
