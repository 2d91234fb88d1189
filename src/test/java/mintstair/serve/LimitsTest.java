package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.Env;
import mintstair.config.Json;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.Loop;
import mintstair.request.HostList;
import mintstair.standin.Client;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a front does when clients ask for more than there is room for. */
class LimitsTest {
    private final Loop loop = new Loop();
    private final TCPNIOTransport transport = Proxy.transport();
    private int port;

    @BeforeEach
    void start() throws IOException {
        transport.start();
        Env env = new Env((Map<?, ?>) Json.read(Program.SETTINGS.replace("PROBING", "false").getBytes()));
        HostList.Entry replica = new HostList.Entry("r", "127.0.0.1:9", "z", 1, HostList.State.SERVING, false, 1, 0);
        port = new Service(loop, transport, new PgProtocol(), 1, env, 10,
            (dispatcher, counters) -> new PgFront(loop, dispatcher, transport, counters, 2))
            .start(new InetSocketAddress("127.0.0.1", 0), null, new HostList(1, true, List.of(replica)));
    }

    @AfterEach
    void stop() throws IOException {
        loop.close();
        transport.shutdownNow();
    }

    @Test
    void oneClientTooManyIsToldSoAndTheOthersStay() throws IOException {
        try (Client.Pg first = new Client.Pg(port); Client.Pg second = new Client.Pg(port);
                Client.Pg third = new Client.Pg(port, true)) {
            assertEquals("refused 0", third.answer());
            assertEquals(-1, third.in.read());
            second.raw(Client.Pg.query(""));
            assertEquals("empty", second.answer());
            first.raw(Client.Pg.query(""));
            assertEquals("empty", first.answer());
        }
    }

    /** Guards the small heap: a client that goes on sending while its first command waits is cut off. */
    @Test
    void clientThatSendsAheadWithoutEndIsCutOff() throws IOException {
        boolean cutOff;
        try (Client.Pg client = new Client.Pg(port)) {
            byte[] query = Client.Pg.query("x".repeat(100_000));
            // No primary is known, so that this write waits for its deadline.
            client.send(true, "id=held,c=write,cluster=1", 1000);
            for (int i = 0; i < 60; i++) {
                client.raw(query);
            }
            assertTrue(client.answer().startsWith("refused "), "what was taken is still answered");
            client.answer();
            cutOff = client.code.equals("08P01");
        } catch (IOException e) {
            cutOff = true;
        }
        assertTrue(cutOff);
        try (Client.Pg next = new Client.Pg(port)) {
            next.raw(Client.Pg.query(""));
            assertEquals("empty", next.answer());
        }
    }
}
