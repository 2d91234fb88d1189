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
import mintstair.front.ClientMemoryBudget;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import mintstair.standin.ManualHost;
import mintstair.stats.MetricsSnapshot;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Runs a PostgreSQL service in the test's process; the event loop and the network thread can be suspended. */
abstract class ServiceFixture {
    private static final long MAX_HELD_BYTES = 16L * 1024 * 1024;
    private static final int MAX_CLIENTS = 600;
    private static final int SEED = 5;

    final EventLoop loop = new EventLoop();
    final TCPNIOTransport transport = ClientTransport.create();
    /** Closed after each test. */
    final List<AutoCloseable> resources = new ArrayList<>();

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
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        loop.close();
        transport.shutdownNow();
    }

    /** Serves these hosts with a connection limit and a connect timeout of 20 s. */
    final void serve(boolean cancelling, int maxHostConnections, EndpointList.Entry... hosts) throws IOException {
        InstanceSettings settings = TestSettings.with(
                "\"cancelling\":true",
                "\"cancelling\":" + cancelling,
                "\"connectTimeoutS\":0.25",
                "\"connectTimeoutS\":20");
        serve(settings, maxHostConnections, MAX_CLIENTS, hosts);
    }

    /** Serves these hosts with one connection; writes are deduplicated by their idempotency key within the window. */
    final void serveDeduplicated(double windowSeconds, EndpointList.Entry... hosts) throws IOException {
        InstanceSettings settings = TestSettings.with(
                "\"at_most_once\"",
                "\"deduplicated\",\"windowS\":" + windowSeconds,
                "\"connectTimeoutS\":0.25",
                "\"connectTimeoutS\":20");
        serve(settings, 1, MAX_CLIENTS, hosts);
    }

    /** Serves these hosts with these settings; returns the port. */
    final int serve(InstanceSettings settings, int maxHostConnections, int maxClients, EndpointList.Entry... hosts)
            throws IOException {
        service = newService(settings, maxHostConnections, maxClients);
        service.start(null, new EndpointList(1, true, List.of(hosts)), false);
        port = service.acceptClients(new InetSocketAddress("127.0.0.1", 0), null);
        return port;
    }

    /** Creates a service that knows no endpoints yet. */
    final ProtocolService newService(InstanceSettings settings, int maxHostConnections, int maxClients) {
        return new ProtocolService(
                loop,
                transport,
                new PgProtocol(),
                SEED,
                settings,
                maxHostConnections,
                (dispatcher, counters) -> new PgFront(
                        loop,
                        dispatcher,
                        transport,
                        counters,
                        new ClientMemoryBudget(MAX_HELD_BYTES, MAX_HELD_BYTES),
                        maxClients));
    }

    /** Returns the port on which the service accepts clients. */
    final int port() {
        return port;
    }

    static EndpointList.Entry host(String name, int port, boolean primary) {
        return new EndpointList.Entry(name, "127.0.0.1:" + port, "a", 1, EndpointList.State.SERVING, primary, 1, 0);
    }

    final Client.Pg client() throws IOException {
        Client.Pg client = new Client.Pg(port);
        resources.add(client);
        return client;
    }

    final ManualHost manualHost() throws IOException {
        ManualHost host = new ManualHost();
        resources.add(host);
        return host;
    }

    /** Returns the current value of a metric of the service. */
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

    /** Returns the number of bytes that the network thread has read. */
    final long bytesRead() {
        return bytesRead.get();
    }

    /** Waits until the network thread has read more than this number of bytes. */
    final void awaitBytesRead(long bytes) {
        Program.await(() -> bytesRead.get() > bytes, "the network thread to read bytes");
    }

    /** Waits until the loop's clock has reached this time. */
    final void awaitTime(long micros) {
        Program.await(() -> loop.now() >= micros, "the loop's clock");
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
