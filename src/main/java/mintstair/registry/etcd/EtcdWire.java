package mintstair.registry.etcd;

import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import mintstair.config.ConfigException;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryWire;
import mintstair.registry.etcd.api.AuthenticateRequest;
import mintstair.registry.etcd.api.RangeRequest;
import mintstair.registry.etcd.api.RangeResponse;
import mintstair.registry.etcd.api.WatchCreateRequest;
import mintstair.registry.etcd.api.WatchProgressRequest;
import mintstair.registry.etcd.api.WatchRequest;
import mintstair.registry.etcd.api.WatchResponse;
import mintstair.registry.view.Change;
import mintstair.registry.view.Event;
import mintstair.registry.view.Item;
import mintstair.registry.view.Order;

/**
 * etcd's v3 API over gRPC. One message of a call is read at a time. A connection is closed when its call fails or is given up:
 * when the next one is tried is the view's to say, not the library's. All of it runs on the executor's one thread.
 */
public final class EtcdWire implements RegistryWire {
    private final RegistryConfig config;
    private final Executor executor;
    private final Events events;
    private ManagedChannel channel;
    private int endpoint = -1;
    private long number;
    private ClientCall<?, ?> call;
    private ClientCall<WatchRequest, WatchResponse> watch;
    private String token;

    /** {@code executor} is the one thread that orders come from, too. */
    public EtcdWire(RegistryConfig config, Executor executor, Events events) {
        this.config = config;
        this.executor = executor;
        this.events = events;
    }

    @Override
    public void carryOut(Order order) {
        if (order instanceof Order.Cancel cancel) {
            if (cancel.call() == number && call != null) {
                close();
            }
        } else if (order instanceof Order.AskProgress ask) {
            if (ask.call() == number && watch != null) {
                askForSign();
            }
        } else {
            number = order instanceof Order.Read r
                    ? r.call()
                    : order instanceof Order.Check c ? c.call() : ((Order.Watch) order).call();
            try {
                connect(
                        order instanceof Order.Read r
                                ? r.endpoint()
                                : order instanceof Order.Check c ? c.endpoint() : ((Order.Watch) order).endpoint());
            } catch (ConfigException e) {
                // Keys and certificates are read anew for each connection, and may be in the middle of being replaced.
                events.tell(new Event.Ended(number, Event.Reason.DENIED, e.getMessage()));
                return;
            }
            begin(order, true);
        }
    }

    private void connect(int to) {
        if (channel == null || endpoint != to) {
            close();
            endpoint = to;
            channel = Etcd.channel(config, config.endpoints().get(to), executor);
        }
    }

    /** Makes the call, with a token where there is a user; one that is no longer accepted is renewed once. */
    private void begin(Order order, boolean mayRenew) {
        long begun = number;
        if (config.user() != null && token == null) {
            AuthenticateRequest asked = AuthenticateRequest.newBuilder()
                    .setName(config.user())
                    .setPassword(config.secret())
                    .build();
            start(
                            Etcd.AUTHENTICATE,
                            new Answers<>(
                                    answer -> {
                                        token = answer.getToken();
                                        begin(order, false);
                                    },
                                    status -> failed(begun, status)),
                            true)
                    .sendMessage(asked);
            call.halfClose();
            return;
        }
        Consumer<Status> ended = status -> {
            if (Etcd.isToken(status) && token != null && mayRenew) {
                token = null;
                begin(order, false);
            } else {
                failed(begun, status);
            }
        };
        if (order instanceof Order.Read r) {
            range(
                    RangeRequest.newBuilder()
                            .setKey(Etcd.bytes(r.from()))
                            .setRangeEnd(Etcd.endOf(config.prefix()))
                            .setLimit(r.limit())
                            .setRevision(r.revision())
                            .build(),
                    ended,
                    true);
        } else if (order instanceof Order.Check) {
            range(head(), ended, false);
        } else if (order instanceof Order.Watch w) {
            watch = start(Etcd.WATCH, new Answers<>(answer -> watched(begun, answer), ended), false);
            watch.sendMessage(WatchRequest.newBuilder()
                    .setCreateRequest(WatchCreateRequest.newBuilder()
                            .setKey(Etcd.bytes(config.prefix()))
                            .setRangeEnd(Etcd.endOf(config.prefix()))
                            .setStartRevision(w.revision())
                            .setFragment(true)
                            .setProgressNotify(true))
                    .build());
        }
    }

    /** The majority's revision beside the watch, and only then the watch's own: asked the other way round it could seem behind. */
    private void askForSign() {
        long begun = number;
        ClientCall<WatchRequest, WatchResponse> asked = watch;
        ClientCall<RangeRequest, RangeResponse> beside = channel.newCall(Etcd.RANGE, Etcd.options());
        beside.start(
                new ClientCall.Listener<>() {
                    @Override
                    public void onMessage(RangeResponse answer) {
                        if (asked == watch) {
                            asked.sendMessage(WatchRequest.newBuilder()
                                    .setProgressRequest(WatchProgressRequest.getDefaultInstance())
                                    .build());
                            events.tell(new Event.Reached(begun, Etcd.header(answer.getHeader())));
                        }
                    }

                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        if (asked == watch && !status.isOk()) {
                            if (Etcd.isToken(status)) {
                                token = null;
                            }
                            failed(begun, status);
                        }
                    }
                },
                Etcd.headers(token));
        beside.request(2);
        beside.sendMessage(head());
        beside.halfClose();
    }

    private RangeRequest head() {
        return RangeRequest.newBuilder()
                .setKey(Etcd.bytes(config.prefix()))
                .setRangeEnd(Etcd.endOf(config.prefix()))
                .setLimit(1)
                .setKeysOnly(true)
                .build();
    }

    private void range(RangeRequest asked, Consumer<Status> ended, boolean page) {
        long begun = number;
        start(
                        Etcd.RANGE,
                        new Answers<>(
                                answer -> {
                                    if (page) {
                                        List<Item> items = answer.getKvsList().stream()
                                                .map(Etcd::item)
                                                .toList();
                                        events.tell(new Event.Page(
                                                begun, Etcd.header(answer.getHeader()), items, answer.getMore()));
                                    } else {
                                        events.tell(new Event.Checked(begun, Etcd.header(answer.getHeader())));
                                    }
                                },
                                ended),
                        true)
                .sendMessage(asked);
        call.halfClose();
    }

    private <A, B> ClientCall<A, B> start(MethodDescriptor<A, B> method, Answers<B> answers, boolean one) {
        ClientCall<A, B> made = channel.newCall(method, Etcd.options());
        answers.of = made;
        call = made;
        watch = null;
        made.start(answers, Etcd.headers(token));
        // Of a call with one answer the end follows by itself.
        made.request(one ? 2 : 1);
        return made;
    }

    private void watched(long begun, WatchResponse answer) {
        if (answer.getCanceled()) {
            if (answer.getCompactRevision() > 0) {
                events.tell(new Event.Compacted(begun));
                return;
            }
            String why = answer.getCancelReason();
            boolean denied = why.contains("auth") || why.contains("permission");
            if (denied) {
                token = null;
            }
            close();
            events.tell(new Event.Ended(
                    begun,
                    why.contains("no leader")
                            ? Event.Reason.NO_LEADER
                            : denied ? Event.Reason.DENIED : Event.Reason.CANCELLED,
                    why));
            return;
        }
        if (answer.getCreated()) {
            events.tell(new Event.Watching(begun, Etcd.header(answer.getHeader())));
        }
        if (answer.getEventsCount() > 0 || answer.getFragment()) {
            List<Change> changes = new ArrayList<>(answer.getEventsCount());
            for (mintstair.registry.etcd.api.Event e : answer.getEventsList()) {
                changes.add(new Change(
                        e.getType() == mintstair.registry.etcd.api.Event.EventType.DELETE, Etcd.item(e.getKv())));
            }
            events.tell(new Event.Batch(begun, Etcd.header(answer.getHeader()), changes, answer.getFragment()));
        } else if (!answer.getCreated()) {
            events.tell(new Event.Progress(begun, Etcd.header(answer.getHeader())));
        }
    }

    private void failed(long begun, Status status) {
        close();
        events.tell(Etcd.ended(begun, status));
    }

    @Override
    public void close() {
        call = null;
        watch = null;
        if (channel != null) {
            channel.shutdownNow();
            channel = null;
        }
    }

    /** Hands on what is still wanted; each message is asked for when the one before was taken in. */
    private final class Answers<T> extends ClientCall.Listener<T> {
        private final Consumer<T> answered;
        private final Consumer<Status> ended;
        private boolean done;
        private ClientCall<?, T> of;

        Answers(Consumer<T> answered, Consumer<Status> ended) {
            this.answered = answered;
            this.ended = ended;
        }

        private boolean wanted() {
            return of == call;
        }

        @Override
        public void onMessage(T message) {
            if (wanted()) {
                boolean stream = of == watch;
                if (!stream) {
                    done = true;
                    call = null;
                }
                answered.accept(message);
                if (stream && wanted()) {
                    of.request(1);
                }
            }
        }

        @Override
        public void onClose(Status status, Metadata trailers) {
            if (wanted() && !done) {
                call = null;
                ended.accept(
                        status.isOk()
                                ? Status.UNAVAILABLE.withDescription("the call was ended by the server")
                                : status);
            }
        }
    }
}
