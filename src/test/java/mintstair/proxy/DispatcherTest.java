package mintstair.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import mintstair.program.Program;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.Exchange;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import mintstair.request.Response;
import mintstair.request.ResponseListener;
import mintstair.request.Statement;
import mintstair.routing.RouterFixtures;
import mintstair.stats.Counters;
import mintstair.stats.MetricsSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the path of a request through the core, with the real router and a backend whose replies the test sends. */
class DispatcherTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long TIMEOUT_MICROS = 5_000_000;
    private static final String PRIMARY = "p";
    private static final Statement STATEMENT = timeoutMillis -> new byte[0];
    private static final byte[] BODY = {1, 2};

    /** An attempt that was sent; the test sends the reply. */
    private static final class SentAttempt implements Backend.Attempt {
        private final String host;
        private final Backend.AttemptListener listener;
        private boolean cancelled;

        SentAttempt(String host, Backend.AttemptListener listener) {
            this.host = host;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        void reply(ConnectionEnd end) {
            listener.onEnd(new HostReply(end, BODY, HostReport.NONE));
        }
    }

    private static final class RecordingBackend implements Backend {
        private final List<SentAttempt> sentAttempts = new ArrayList<>();

        @Override
        public Attempt send(String host, Statement statement, long writeBy, long abandonAt, AttemptListener listener) {
            SentAttempt attempt = new SentAttempt(host, listener);
            sentAttempts.add(attempt);
            return attempt;
        }

        @Override
        public void sendHealthCheck(String host, AttemptListener listener) {}

        @Override
        public void endpointsUpdated(EndpointList list) {}

        @Override
        public void failQueuedForUnavailableHosts() {}
    }

    private static final class RecordingClient implements ResponseListener {
        private final List<Response> responses = new ArrayList<>();
        private final List<byte[]> parts = new ArrayList<>();
        private boolean disconnected;
        private boolean aborted;

        @Override
        public void onResponse(Response response) {
            responses.add(response);
        }

        @Override
        public void onResponsePart(byte[] bytes, Runnable onWritten) {
            parts.add(bytes);
            onWritten.run();
        }

        @Override
        public boolean isDisconnected() {
            return disconnected;
        }

        @Override
        public void onResponseAborted() {
            aborted = true;
        }
    }

    private final EventLoop loop = new EventLoop();
    private final RecordingBackend backend = new RecordingBackend();
    private final RecordingClient client = new RecordingClient();
    private Dispatcher dispatcher;

    @BeforeEach
    void startWithOnePrimary() throws Exception {
        dispatcher = new Dispatcher(loop, RouterFixtures.router(loop.now()), backend, new Counters(), line -> {});
        EndpointList.Entry primary = RouterFixtures.primary(PRIMARY, EndpointList.State.SERVING);
        onLoop(() -> dispatcher.endpointsUpdated(new EndpointList(1, true, List.of(primary)), false));
    }

    @AfterEach
    void closeLoop() {
        loop.close();
    }

    private <T> T onLoop(Callable<T> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(call.call());
            } catch (Exception | AssertionError failure) {
                result.completeExceptionally(failure);
            }
        });
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void onLoop(Runnable task) throws Exception {
        onLoop(() -> {
            task.run();
            return null;
        });
    }

    private Exchange submitWrite() {
        ProxyRequest request = new ProxyRequest(
                "id", "write", 1, null, false, TIMEOUT_MICROS, HostReport.UNKNOWN_POSITION, STATEMENT, null);
        return dispatcher.submit(request, 0, client);
    }

    private SentAttempt onlyAttempt() {
        assertEquals(1, backend.sentAttempts.size());
        return backend.sentAttempts.get(0);
    }

    private long metric(String name) {
        MetricsSnapshot.Builder metrics = new MetricsSnapshot.Builder();
        dispatcher.addTo(metrics);
        return metrics.build().value(name);
    }

    @Test
    void replyOfTheHostIsSentAsTheResponse() throws Exception {
        onLoop(() -> {
            submitWrite();
            assertTrue(dispatcher.hasOpenRequest("id"));
            assertEquals(1, metric("in_flight"));
            assertEquals(PRIMARY, onlyAttempt().host);

            onlyAttempt().reply(ConnectionEnd.SERVED);

            assertEquals(List.of(new Response.Served(PRIMARY, BODY)), client.responses);
            assertFalse(dispatcher.hasOpenRequest("id"));
            assertEquals(0, metric("in_flight"));
            assertEquals(1, metric("served.write"));
        });
    }

    @Test
    void noAttemptIsSentForADisconnectedClient() throws Exception {
        onLoop(() -> {
            client.disconnected = true;

            Exchange exchange = submitWrite();

            assertTrue(exchange.isOver());
            assertEquals(List.of(), backend.sentAttempts);
            assertEquals(1, metric("held_back.request_over"));
        });
    }

    @Test
    void writeThatMayHaveBeenExecutedIsNotRetried() throws Exception {
        onLoop(() -> {
            submitWrite();

            onlyAttempt().reply(ConnectionEnd.BROKEN_AFTER_WRITTEN);

            assertInstanceOf(Response.Failed.class, client.responses.get(0));
            assertEquals(1, backend.sentAttempts.size());
            assertEquals(1, metric("failed.write"));
        });
    }

    @Test
    void requestWithAStreamedReplyIsInFlightUntilTheReplyEnds() throws Exception {
        onLoop(() -> {
            submitWrite();

            onlyAttempt().listener.onReplyPart(BODY, () -> {});
            assertEquals(1, client.parts.size());
            assertEquals(List.of(), client.responses);
            assertEquals(1, metric("in_flight"));

            onlyAttempt().reply(ConnectionEnd.SERVED);
            assertEquals(List.of(new Response.Served(PRIMARY, BODY)), client.responses);
            assertEquals(0, metric("in_flight"));
        });
    }

    @Test
    void truncatedStreamedReplyAbortsTheResponseAndCountsAsFailed() throws Exception {
        onLoop(() -> {
            submitWrite();
            onlyAttempt().listener.onReplyPart(BODY, () -> {});

            onlyAttempt().reply(ConnectionEnd.BROKEN_AFTER_WRITTEN);

            assertTrue(client.aborted);
            assertEquals(List.of(), client.responses);
            assertEquals(1, metric("failed.write"));
            assertEquals(0, metric("in_flight"));
        });
    }

    @Test
    void streamedReplyIsCancelledWhenItsClientDisconnects() throws Exception {
        onLoop(() -> {
            Exchange exchange = submitWrite();
            onlyAttempt().listener.onReplyPart(BODY, () -> {});

            dispatcher.clientDisconnected(exchange);

            assertTrue(onlyAttempt().cancelled);
            assertFalse(dispatcher.hasOpenRequest("id"));
            assertEquals(0, metric("in_flight"));
        });
    }

    @Test
    void releaseStatementsAreSentToServingHostsOnly() throws Exception {
        onLoop(() -> {
            dispatcher.release("unknown", STATEMENT);
            assertEquals(List.of(), backend.sentAttempts);

            dispatcher.release(PRIMARY, STATEMENT);
            assertEquals(PRIMARY, onlyAttempt().host);
        });
    }

    @Test
    void requestInFlightAtTheEndOfTheDrainReceivesAResponse() throws Exception {
        onLoop(() -> {
            submitWrite();
            assertEquals(TIMEOUT_MICROS, dispatcher.effectiveTimeoutMicros(TIMEOUT_MICROS));

            dispatcher.drainBy(loop.now(), loop.now());
            assertEquals(1, dispatcher.effectiveTimeoutMicros(TIMEOUT_MICROS));
        });

        Program.await(() -> !loopState(() -> dispatcher.hasOpenRequest("id")), "the response");
        assertEquals(1, onLoop(() -> client.responses.size()));
    }

    private <T> T loopState(Callable<T> call) {
        try {
            return onLoop(call);
        } catch (Exception failure) {
            throw new AssertionError(failure);
        }
    }
}
