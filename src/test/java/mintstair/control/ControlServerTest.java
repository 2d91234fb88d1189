package mintstair.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mintstair.stats.MetricsSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ControlServerTest {
    private static final int TIMEOUT_MILLIS = 20_000;

    private final ControlServer server =
            new ControlServer(new ControlCommands(() -> new MetricsSnapshot.Builder().build()));
    private final List<Socket> clients = new ArrayList<>();
    private int port;

    @BeforeEach
    void listen() throws IOException {
        port = server.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    @AfterEach
    void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        server.close();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(TIMEOUT_MILLIS);
        clients.add(client);
        return client;
    }

    private static String call(Socket client, String line) throws IOException {
        client.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
        return new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void connectionIsClosedAfterTheResponse() throws IOException {
        assertEquals("ok\neof\n", call(connect(), "telemetry\n"));
    }

    @Test
    void oldestIncompleteConnectionIsClosedWhenLimitIsExceeded() throws IOException {
        Socket oldest = connect();
        for (int i = 0; i < ControlServer.MAX_INCOMPLETE; i++) {
            connect();
        }

        assertEquals(-1, oldest.getInputStream().read());
        assertEquals("ok\neof\n", call(connect(), "telemetry\n"));
    }
}
