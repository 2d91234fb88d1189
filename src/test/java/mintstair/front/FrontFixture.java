package mintstair.front;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.Backend;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.request.Statement;
import mintstair.routing.RequestRouter;
import mintstair.stats.Counters;
import mintstair.wire.AcceptRetryStrategy;
import mintstair.wire.PgWriter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A PostgreSQL front with one primary, which replies only when a test requests it. */
abstract class FrontFixture {
    static final int MAX_CLIENTS = 10;
    static final int MAX_HELD_BYTES = 8 * 1024 * 1024;
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final long READ_TIMEOUT_AND_CHECK_MICROS = 3_000_000;

    final EventLoop loop = new EventLoop();
    final Counters counters = new Counters();
    final SilentBackend backend = new SilentBackend();
    /** Has one network thread that also runs the handlers, as the transport of the program has. */
    private final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
            .setIOStrategy(new AcceptRetryStrategy())
            .setSelectorRunnersCount(1)
            .setReadBufferSize(READ_BUFFER_BYTES)
            .build();

    Front front;
    int port;

    /** Accepts every attempt and stores its listener for the test; used on the event loop. */
    static final class SilentBackend implements Backend {
        final List<AttemptListener> attempts = new ArrayList<>();

        @Override
        public Attempt send(
                String host, Statement statement, long writeByMicros, long abandonAtMicros, AttemptListener listener) {
            attempts.add(listener);
            return () -> {};
        }

        @Override
        public void sendHealthCheck(String host, AttemptListener listener) {}

        @Override
        public void endpointsUpdated(EndpointList list) {}

        @Override
        public void failQueuedForUnavailableHosts() {}
    }

    @BeforeEach
    void startFront() throws IOException {
        transport.start();
        byte[] json = Program.SETTINGS.replace("PROBING", "false").getBytes(StandardCharsets.UTF_8);
        InstanceSettings settings = new InstanceSettings((Map<?, ?>) Json.read(json));
        RequestRouter router = new RequestRouter(loop.now(), 1, settings);
        Dispatcher dispatcher = new Dispatcher(loop, router, backend, counters, line -> {});
        EndpointList.Entry primary =
                new EndpointList.Entry("p", "127.0.0.1:9", "z", 1, EndpointList.State.SERVING, true, 1, 0);
        loop.execute(() -> dispatcher.endpointsUpdated(new EndpointList(1, true, List.of(primary)), false));
        front = new PgFront(
                loop,
                dispatcher,
                transport,
                counters,
                new ClientMemoryBudget(MAX_HELD_BYTES, MAX_HELD_BYTES),
                MAX_CLIENTS);
        port = front.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    }

    @AfterEach
    void stopFront() throws IOException {
        loop.close();
        transport.shutdownNow();
    }

    /** Returns a value that is computed on the event loop, where the state of the front may be read. */
    <T> T onLoop(Supplier<T> value) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(value.get()));
        return result.join();
    }

    /** Waits until the primary has received this many attempts since the start. */
    void awaitAttempts(int count) {
        Program.await(() -> onLoop(backend.attempts::size) == count, count + " attempts");
    }

    /** Waits until a message of which the rest is missing now has timed out, and the front has noticed it. */
    void awaitReadTimeout() {
        long untilMicros = loop.now() + READ_TIMEOUT_AND_CHECK_MICROS;
        Program.await(() -> loop.now() > untilMicros, "the read timeout");
    }

    /** Makes the primary reply to its last attempt with this value. */
    void replyToLastAttempt(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] body = new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', bytes.length, bytes)
                .message('C', "SELECT 1")
                .bytes();
        HostReply reply = new HostReply(ConnectionEnd.SERVED, body, HostReport.NONE);
        loop.execute(() -> backend.attempts.get(backend.attempts.size() - 1).onEnd(reply));
    }

    /** Blocks the event loop until the latch is released. */
    CountDownLatch blockLoop() {
        CountDownLatch blocked = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                blocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return blocked;
    }
}
