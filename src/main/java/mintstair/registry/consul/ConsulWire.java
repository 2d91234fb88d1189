package mintstair.registry.consul;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryWire;
import mintstair.registry.view.Event;
import mintstair.registry.view.Header;
import mintstair.registry.view.Item;
import mintstair.registry.view.Order;
import mintstair.registry.view.PollView;

/**
 * Consul's blocking queries: one recursive read of the prefix at a time, and, while it waits, short calls that ask the endpoint
 * for its leader. All of it runs on the executor's one thread.
 */
public final class ConsulWire implements RegistryWire {
    /** All entries, with a third more for base64, and the words around them. */
    private static final long MOST_BODY = 64L << 20;

    private static final int MOST_STATUS = 1 << 10;

    private final RegistryConfig config;
    private final Executor executor;
    private final Events events;
    private final HttpClient client;
    private long number;
    private InetSocketAddress endpoint;
    private CompletableFuture<?> call;
    private CompletableFuture<?> status;

    /** {@code executor} is the one thread that orders come from, too. */
    public ConsulWire(RegistryConfig config, Executor executor, Events events) {
        this.config = config;
        this.executor = executor;
        this.events = events;
        client = Consul.client(config, null);
    }

    @Override
    public void carryOut(Order order) {
        if (order instanceof Order.Cancel cancel) {
            if (cancel.call() == number) {
                close();
            }
        } else if (order instanceof Order.AskProgress ask) {
            if (ask.call() == number) {
                askForLeader(number);
            }
        } else if (order instanceof Order.Poll poll) {
            close();
            number = poll.call();
            endpoint = config.endpoints().get(poll.endpoint());
            poll(poll);
        }
    }

    private void poll(Order.Poll poll) {
        long begun = number;
        String query = "?recurse=true" + (poll.sure() ? "&consistent" : "")
                + (poll.index() > 0 ? "&index=" + poll.index() + "&wait=" + PollView.WAIT / 1000 + "ms" : "");
        call = send(
                Consul.call(config, endpoint, Consul.key(config.prefix()), query)
                        .GET()
                        .build(),
                MOST_BODY,
                begun,
                answer -> answered(begun, answer));
    }

    private void answered(long begun, HttpResponse<byte[]> answer) {
        call = null;
        // An empty list is "not found", but has its index all the same.
        boolean empty = answer.statusCode() == 404 && Consul.number(answer, "X-Consul-Index") > 0;
        if (answer.statusCode() != 200 && !empty) {
            events.tell(Consul.refused(begun, answer.statusCode(), answer.body()));
            return;
        }
        try {
            List<Item> items = empty ? List.of() : Consul.items(answer.body());
            boolean leads = answer.headers()
                    .firstValue("X-Consul-KnownLeader")
                    .map(Boolean::parseBoolean)
                    .orElse(false);
            events.tell(new Event.Whole(
                    begun,
                    Consul.number(answer, "X-Consul-Index"),
                    items,
                    leads && Consul.number(answer, "X-Consul-LastContact") <= 0));
        } catch (IOException | IllegalArgumentException e) {
            events.tell(new Event.Ended(
                    begun,
                    Event.Reason.MALFORMED,
                    String.valueOf(e.getMessage()).split("\n")[0]));
        }
    }

    private void askForLeader(long begun) {
        status = send(
                Consul.call(config, endpoint, "/v1/status/leader", "").GET().build(), MOST_STATUS, begun, answer -> {
                    status = null;
                    if (answer.statusCode() != 200) {
                        fail(Consul.refused(begun, answer.statusCode(), answer.body()));
                    } else if (new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8)
                            .strip()
                            .replace("\"", "")
                            .isEmpty()) {
                        fail(new Event.Ended(begun, Event.Reason.NO_LEADER, "no leader is known"));
                    } else {
                        events.tell(new Event.Progress(begun, new Header(0, 0, 0)));
                    }
                });
    }

    private CompletableFuture<?> send(
            HttpRequest request, long most, long begun, Consumer<HttpResponse<byte[]>> answered) {
        CompletableFuture<HttpResponse<byte[]>> sent = client.sendAsync(request, info -> new BoundedBody(most));
        sent.whenCompleteAsync(
                (answer, why) -> {
                    if (begun != number || sent.isCancelled()) {
                        return;
                    }
                    if (why == null) {
                        answered.accept(answer);
                    } else {
                        Throwable cause =
                                why instanceof CompletionException && why.getCause() != null ? why.getCause() : why;
                        fail(new Event.Ended(
                                begun,
                                Event.Reason.BROKEN,
                                cause instanceof ConnectException
                                        ? "refused"
                                        : String.valueOf(cause.getMessage()).split("\n")[0]));
                    }
                },
                executor);
        return sent;
    }

    private void fail(Event.Ended end) {
        close();
        events.tell(end);
    }

    @Override
    public void close() {
        number = 0;
        if (call != null) {
            call.cancel(true);
            call = null;
        }
        if (status != null) {
            status.cancel(true);
            status = null;
        }
    }
}
