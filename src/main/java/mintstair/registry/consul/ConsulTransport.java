package mintstair.registry.consul;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import mintstair.config.FirstLine;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryTransport;
import mintstair.registry.view.PollView;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.registry.view.RegistryPosition;

/**
 * The transport for Consul. Makes one blocking query at a time, a recursive read of the prefix. While the server holds
 * the query, short status calls to the same server check that it knows a leader. Must be used on the executor's thread
 * only.
 */
public final class ConsulTransport implements RegistryTransport {
    /** Exceeds the size of a full view (32 MiB) in base64, which adds a third, and in JSON. */
    private static final long MAX_LIST_BYTES = 64L << 20;

    private static final int MAX_STATUS_BYTES = 1 << 10;
    private static final long NO_CALL = 0;
    private static final RegistryPosition UNKNOWN_POSITION = new RegistryPosition(0, 0, 0);

    private final RegistryConfig config;
    private final Executor executor;
    private final Consumer<RegistryEvent> listener;
    private final HttpClient client;
    private long callId = NO_CALL;
    private InetSocketAddress server;
    /** The blocking query in progress; null if there is none. */
    private CompletableFuture<?> query;
    /** The status call in progress; null if there is none. */
    private CompletableFuture<?> statusCall;

    /**
     * Creates the transport; connections are opened by calls.
     *
     * @param executor runs tasks on the one thread on which the transport is used and the listener is called
     * @throws mintstair.config.ConfigException if a TLS file is not usable
     */
    public ConsulTransport(RegistryConfig config, Executor executor, Consumer<RegistryEvent> listener) {
        this.config = config;
        this.executor = executor;
        this.listener = listener;
        client = ConsulApi.newClient(config);
    }

    @Override
    public void execute(RegistryCall call) {
        if (call instanceof RegistryCall.Poll poll) {
            startQuery(poll);
        } else if (call.callId() != callId) {
            // The call concerns a query that has ended or been replaced.
            return;
        } else if (call instanceof RegistryCall.Cancel) {
            close();
        } else if (call instanceof RegistryCall.RequestProgress) {
            requestLeader(callId);
        }
    }

    private void startQuery(RegistryCall.Poll poll) {
        close();
        callId = poll.callId();
        server = config.endpoints().get(poll.server());
        HttpRequest request = ConsulApi.request(config, server, ConsulApi.keyPath(config.prefix()), queryOf(poll))
                .GET()
                .build();
        query = send(request, MAX_LIST_BYTES, poll.callId(), response -> onList(poll.callId(), response));
    }

    private static String queryOf(RegistryCall.Poll poll) {
        StringBuilder parameters = new StringBuilder("?recurse=true");
        if (poll.consistent()) {
            parameters.append("&consistent");
        }
        if (poll.index() > 0) {
            parameters.append("&index=").append(poll.index());
            parameters.append("&wait=").append(PollView.WAIT_MICROS / 1000).append("ms");
        }
        return parameters.toString();
    }

    private void onList(long listCallId, HttpResponse<byte[]> response) {
        query = null;
        long index = ConsulApi.numberHeader(response, ConsulApi.INDEX_HEADER);
        // If the prefix has no entries, the status is 404 but the response still carries the index.
        boolean empty = response.statusCode() == ConsulApi.NOT_FOUND && index > 0;
        if (response.statusCode() != ConsulApi.OK && !empty) {
            listener.accept(ConsulApi.failure(listCallId, response));
            return;
        }
        List<RegistryEntry> entries;
        try {
            entries = empty ? List.of() : ConsulApi.parseEntries(response.body());
        } catch (IOException | IllegalArgumentException e) {
            String detail = FirstLine.of(e.getMessage());
            listener.accept(new RegistryEvent.CallFailed(listCallId, Reason.MALFORMED, detail));
            return;
        }
        listener.accept(new RegistryEvent.FullList(listCallId, index, entries, isLeaderConfirmed(response)));
    }

    private static boolean isLeaderConfirmed(HttpResponse<?> response) {
        boolean leaderKnown = response.headers()
                .firstValue(ConsulApi.KNOWN_LEADER_HEADER)
                .map(Boolean::parseBoolean)
                .orElse(false);
        return leaderKnown && ConsulApi.numberHeader(response, ConsulApi.LAST_CONTACT_HEADER) <= 0;
    }

    private void requestLeader(long checkedCallId) {
        HttpRequest request = ConsulApi.request(config, server, ConsulApi.LEADER_PATH, "")
                .GET()
                .build();
        statusCall = send(request, MAX_STATUS_BYTES, checkedCallId, response -> onLeader(checkedCallId, response));
    }

    private void onLeader(long checkedCallId, HttpResponse<byte[]> response) {
        statusCall = null;
        if (response.statusCode() != ConsulApi.OK) {
            fail(ConsulApi.failure(checkedCallId, response));
        } else if (leaderOf(response).isEmpty()) {
            fail(new RegistryEvent.CallFailed(checkedCallId, Reason.NO_LEADER, "no leader is known"));
        } else {
            listener.accept(new RegistryEvent.Progress(checkedCallId, UNKNOWN_POSITION));
        }
    }

    private static String leaderOf(HttpResponse<byte[]> response) {
        return new String(response.body(), StandardCharsets.UTF_8).strip().replace("\"", "");
    }

    private CompletableFuture<?> send(
            HttpRequest request, long maxBytes, long sentCallId, Consumer<HttpResponse<byte[]>> onResponse) {
        CompletableFuture<HttpResponse<byte[]>> sent =
                client.sendAsync(request, BoundedBodySubscriber.handler(maxBytes));
        sent.whenCompleteAsync(
                (response, failure) -> {
                    if (sentCallId != callId || sent.isCancelled()) {
                        return;
                    }
                    if (failure == null) {
                        onResponse.accept(response);
                    } else {
                        fail(new RegistryEvent.CallFailed(sentCallId, Reason.BROKEN, describe(failure)));
                    }
                },
                executor);
        return sent;
    }

    private static String describe(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        Throwable cause = wrapped ? failure.getCause() : failure;
        return cause instanceof ConnectException ? "refused" : FirstLine.of(cause.getMessage());
    }

    private void fail(RegistryEvent.CallFailed failure) {
        close();
        listener.accept(failure);
    }

    @Override
    public void close() {
        callId = NO_CALL;
        if (query != null) {
            query.cancel(true);
            query = null;
        }
        if (statusCall != null) {
            statusCall.cancel(true);
            statusCall = null;
        }
    }
}
