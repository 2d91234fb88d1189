package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.InstanceSettings;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import mintstair.standin.LateHost;
import mintstair.stats.MetricsSnapshot;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A PostgreSQL service in this process, whose event loop and network thread a test may suspend. */
abstract class ServiceFixture {
    private static final int MAX_CLIENTS = 600;
    private static final int SEED = 5;

    final EventLoop loop = new EventLoop();
    final TCPNIOTransport transport = ClientTransport.create();
    /** Closed after each test. */
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

    /** Serves these hosts, with so many connections to them at most, and waits 20 s for each. */
    final void serve(boolean cancelling, int maxHostConnections, EndpointList.Entry... hosts) throws IOException {
        InstanceSettings settings = TestSettings.with(
                "\"cancelling\":true",
                "\"cancelling\":" + cancelling,
                "\"connectTimeoutS\":0.25",
                "\"connectTimeoutS\":20");
        serve(settings, maxHostConnections, MAX_CLIENTS, hosts);
    }

    /** Serves these hosts over one connection at a time; writes have idempotency keys, known for so many seconds. */
    final void serveKeyed(double windowSeconds, EndpointList.Entry... hosts) throws IOException {
        InstanceSettings settings = TestSettings.with(
                "\"at_most_once\"",
                "\"deduplicated\",\"windowS\":" + windowSeconds,
                "\"connectTimeoutS\":0.25",
                "\"connectTimeoutS\":20");
        serve(settings, 1, MAX_CLIENTS, hosts);
    }

    /** Serves these hosts by these settings; returns the port. */
    final int serve(InstanceSettings settings, int maxHostConnections, int maxClients, EndpointList.Entry... hosts)
            throws IOException {
        service = newService(settings, maxHostConnections, maxClients);
        service.start(null, new EndpointList(1, true, List.of(hosts)), false);
        port = service.acceptClients(new InetSocketAddress("127.0.0.1", 0), null);
        return port;
    }

    /** A service that does not know any endpoints yet. */
    final ProtocolService newService(InstanceSettings settings, int maxHostConnections, int maxClients) {
        return new ProtocolService(
                loop,
                transport,
                new PgProtocol(),
                SEED,
                settings,
                maxHostConnections,
                (dispatcher, counters) -> new PgFront(loop, dispatcher, transport, counters, maxClients));
    }

    /** Where the service accepts clients. */
    final int port() {
        return port;
    }

    static EndpointList.Entry host(String name, int port, boolean primary) {
        return new EndpointList.Entry(name, "127.0.0.1:" + port, "a", 1, EndpointList.State.SERVING, primary, 1, 0);
    }

    final Client.Pg client() throws IOException {
        Client.Pg client = new Client.Pg(port);
        open.add(client);
        return client;
    }

    final LateHost lateHost() throws IOException {
        LateHost host = new LateHost();
        open.add(host);
        return host;
    }

    /** One of the service's metrics, as it is now. */
    final long metric(String name) {
        CompletableFuture<Long> value = new CompletableFuture<>();
        loop.execute(() -> {
            MetricsSnapshot.Builder metrics = new MetricsSnapshot.Builder();
            service.addTo(metrics);
            value.complete(metrics.build().value(name));
        });
        return value.join();
    }

    final void awaitMetric(String name, long expected) {
        Program.await(() -> metric(name) == expected, name + "=" + expected);
    }

    /** How many bytes the network thread has read up to now. */
    final long bytesRead() {
        return bytesRead.get();
    }

    /** Waits until the network thread has read more than so many bytes. */
    final void awaitRead(long bytes) {
        Program.await(() -> bytesRead.get() > bytes, "bytes on the network thread");
    }

    /** Waits until the loop's clock has come to this time. */
    final void awaitTime(long micros) {
        Program.await(() -> loop.now() >= micros, "the time");
    }

    /** Suspends a thread until the latch is released; returns once it is suspended. */
    static void suspend(Executor thread, CountDownLatch released) throws InterruptedException {
        CountDownLatch suspended = new CountDownLatch(1);
        thread.execute(() -> {
            suspended.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        suspended.await();
    }
}
