package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** One service in this process, whose loop and network thread a test may hold up; it waits 20 s for a connection to a host. */
abstract class OneServiceFixture {
    final EventLoop loop = new EventLoop();
    final TCPNIOTransport transport = Proxy.transport();
    final List<AutoCloseable> open = new ArrayList<>();
    ProtocolService service;
    private final AtomicLong bytesRead = new AtomicLong();
    private int port;

    @BeforeEach
    void startTransport() throws IOException {
        transport.getConnectionMonitoringConfig().addProbes(new ConnectionProbe.Adapter() {
            @Override
            public void onReadEvent(Connection connection, Buffer data, int size) {
                bytesRead.addAndGet(size);
            }
        });
        transport.start();
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        loop.close();
        transport.shutdownNow();
    }

    /** Serves these hosts, over so many connections to them at most; attempts may be called off or not. */
    final void serve(boolean cancelling, int mostHostConnections, EndpointList.Entry... hosts) throws IOException {
        serve(
                Program.SETTINGS.replace("\"cancelling\":true", "\"cancelling\":" + cancelling),
                mostHostConnections,
                hosts);
    }

    /** Serves these hosts over one connection at a time; writes may be repeated within so many seconds. */
    final void serveKeyed(double window, EndpointList.Entry... hosts) throws IOException {
        serve(Program.SETTINGS.replace("\"at_most_once\"", "\"deduplicated\",\"windowS\":" + window), 1, hosts);
    }

    private void serve(String settingsText, int mostHostConnections, EndpointList.Entry... hosts) throws IOException {
        String settings =
                settingsText.replace("PROBING", "false").replace("\"connectTimeoutS\":0.25", "\"connectTimeoutS\":20");
        InstanceSettings env = new InstanceSettings((Map<?, ?>) Json.read(settings.getBytes(StandardCharsets.UTF_8)));
        service = new ProtocolService(
                loop,
                transport,
                new PgProtocol(),
                5,
                env,
                mostHostConnections,
                (dispatcher, counters) -> new PgFront(loop, dispatcher, transport, counters, 600));
        service.begin(null, new EndpointList(1, true, List.of(hosts)), false);
        port = service.open(new InetSocketAddress("127.0.0.1", 0), null);
    }

    static EndpointList.Entry host(String name, int port, boolean primary) {
        return new EndpointList.Entry(name, "127.0.0.1:" + port, "a", 1, EndpointList.State.SERVING, primary, 1, 0);
    }

    final Client.Pg client() throws IOException {
        Client.Pg client = new Client.Pg(port);
        open.add(client);
        return client;
    }

    /** How many bytes the network thread has read up to now. */
    final long bytesRead() {
        return bytesRead.get();
    }

    /** Waits until the network thread has read more than so many bytes. */
    final void awaitRead(long bytes) {
        Program.await(() -> bytesRead.get() > bytes, "bytes on the network thread");
    }

    /** Waits until the loop's clock has come to this. */
    final void awaitTime(long time) {
        Program.await(() -> loop.now() >= time, "the time");
    }

    /** Has a thread stand still until the latch is released; returns once it does. */
    static void hold(Executor thread, CountDownLatch until) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        thread.execute(() -> {
            held.countDown();
            try {
                until.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
    }
}
