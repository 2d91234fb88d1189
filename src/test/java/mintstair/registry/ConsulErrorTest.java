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
 * An agent may reject a call with a body of line ends alone. The first line of such a text was taken from an array
 * that is empty then: the call had no end, and the client waited for it until it was overdue.
 */
class ConsulErrorTest {
    private static final byte[] LINE_ENDS = "\n\n".getBytes(StandardCharsets.UTF_8);

    @Test
    void rejectionWithABodyOfLineEndsIsARejection() throws Exception {
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
