package mintstair.registry.etcd;

import com.google.protobuf.ByteString;
import io.grpc.InsecureServerCredentials;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerCredentials;
import io.grpc.ServerInterceptor;
import io.grpc.ServerInterceptors;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.okhttp.OkHttpServerBuilder;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.registry.etcd.api.AuthenticateRequest;
import mintstair.registry.etcd.api.AuthenticateResponse;
import mintstair.registry.etcd.api.Event;
import mintstair.registry.etcd.api.KeyValue;
import mintstair.registry.etcd.api.RangeRequest;
import mintstair.registry.etcd.api.RangeResponse;
import mintstair.registry.etcd.api.RequestOp;
import mintstair.registry.etcd.api.ResponseHeader;
import mintstair.registry.etcd.api.TxnRequest;
import mintstair.registry.etcd.api.TxnResponse;
import mintstair.registry.etcd.api.WatchRequest;
import mintstair.registry.etcd.api.WatchResponse;
import mintstair.registry.view.Change;
import mintstair.registry.view.Item;
import mintstair.standin.RegistryModel;
import mintstair.standin.StandInHost;

/** One member of a stand-in registry on etcd's v3 wire, as the public API describes it; scripted by its fields. */
public final class EtcdMember implements AutoCloseable {
    /** Run at each call. */
    public volatile Runnable onCall = () -> {};

    public final AtomicInteger reads = new AtomicInteger();
    public final AtomicInteger authenticated = new AtomicInteger();
    /** The member has come no further than this; negative: it is up to date. */
    public volatile long lagsAt = -1;

    public volatile boolean noLeader;
    /** Watches are given this many changes a message at most, the rest as fragments. */
    public volatile int fragment = Integer.MAX_VALUE;

    public volatile Map<String, String> users = Map.of();
    public final Set<String> tokens = ConcurrentHashMap.newKeySet();
    private final RegistryModel model;
    private final Server server;
    private volatile boolean closed;

    public EtcdMember(RegistryModel model) throws IOException {
        this(model, InsecureServerCredentials.create());
    }

    public EtcdMember(RegistryModel model, ServerCredentials credentials) throws IOException {
        this.model = model;
        ServerServiceDefinition.Builder kv = ServerServiceDefinition.builder("etcdserverpb.KV");
        kv.addMethod(
                Etcd.RANGE,
                ServerCalls.asyncUnaryCall((RangeRequest r, StreamObserver<RangeResponse> out) -> range(r, out)));
        kv.addMethod(
                Etcd.TXN, ServerCalls.asyncUnaryCall((TxnRequest r, StreamObserver<TxnResponse> out) -> txn(r, out)));
        ServerServiceDefinition.Builder watch = ServerServiceDefinition.builder("etcdserverpb.Watch");
        watch.addMethod(Etcd.WATCH, ServerCalls.asyncBidiStreamingCall(out -> new Stream(out)));
        ServerServiceDefinition.Builder auth = ServerServiceDefinition.builder("etcdserverpb.Auth");
        auth.addMethod(
                Etcd.AUTHENTICATE,
                ServerCalls.asyncUnaryCall(
                        (AuthenticateRequest r, StreamObserver<AuthenticateResponse> out) -> authenticate(r, out)));
        server = OkHttpServerBuilder.forPort(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), credentials)
                .executor(Executors.newCachedThreadPool(task -> {
                    Thread thread = new Thread(task, "etcd");
                    thread.setDaemon(true);
                    return thread;
                }))
                .addService(ServerInterceptors.intercept(kv.build(), new Door()))
                .addService(ServerInterceptors.intercept(watch.build(), new Door()))
                .addService(auth.build())
                .build()
                .start();
    }

    public int port() {
        return server.getPort();
    }

    /** Turns away who has no valid token, and everybody while no leader is known. */
    private final class Door implements ServerInterceptor {
        @Override
        public <A, B> ServerCall.Listener<A> interceptCall(
                ServerCall<A, B> call, Metadata headers, ServerCallHandler<A, B> next) {
            onCall.run();
            String token = headers.get(Metadata.Key.of("token", Metadata.ASCII_STRING_MARSHALLER));
            Status status = !users.isEmpty() && (token == null || !tokens.contains(token))
                    ? Status.UNAUTHENTICATED.withDescription("etcdserver: invalid auth token")
                    : noLeader ? Status.UNAVAILABLE.withDescription("etcdserver: no leader") : null;
            if (status != null) {
                call.close(status, new Metadata());
                return new ServerCall.Listener<>() {};
            }
            return next.startCall(call, headers);
        }
    }

    private void authenticate(AuthenticateRequest r, StreamObserver<AuthenticateResponse> out) {
        if (!r.getPassword().equals(users.get(r.getName()))) {
            out.onError(Status.INVALID_ARGUMENT
                    .withDescription("etcdserver: authentication failed, invalid user ID or password")
                    .asRuntimeException());
            return;
        }
        String token = "token" + authenticated.incrementAndGet();
        tokens.add(token);
        out.onNext(AuthenticateResponse.newBuilder()
                .setHeader(header())
                .setToken(token)
                .build());
        out.onCompleted();
    }

    private ResponseHeader header() {
        synchronized (model) {
            return ResponseHeader.newBuilder()
                    .setClusterId(model.cluster)
                    .setRevision(model.revision)
                    .setRaftTerm(model.term)
                    .build();
        }
    }

    private long reached() {
        return lagsAt < 0 ? model.revision : Math.min(lagsAt, model.revision);
    }

    private static KeyValue kv(Item item, boolean keysOnly) {
        return KeyValue.newBuilder()
                .setKey(Etcd.bytes(item.key()))
                .setCreateRevision(item.created())
                .setModRevision(item.modified())
                .setValue(keysOnly ? ByteString.EMPTY : ByteString.copyFrom(item.value()))
                .build();
    }

    private void range(RangeRequest r, StreamObserver<RangeResponse> out) {
        reads.incrementAndGet();
        RangeResponse answer;
        synchronized (model) {
            long at = r.getRevision() == 0 ? model.revision : r.getRevision();
            if (at < model.compacted || at > model.revision) {
                out.onError(Status.OUT_OF_RANGE
                        .withDescription(
                                at > model.revision
                                        ? "etcdserver: mvcc: required revision is a future revision"
                                        : "etcdserver: mvcc: required revision has been compacted")
                        .asRuntimeException());
                return;
            }
            String from = r.getKey().toString(java.nio.charset.StandardCharsets.ISO_8859_1);
            String end = r.getRangeEnd().isEmpty()
                    ? from + '\0'
                    : r.getRangeEnd().toString(java.nio.charset.StandardCharsets.ISO_8859_1);
            List<Item> all = new ArrayList<>(model.at(at).subMap(from, end).values());
            int size = r.getLimit() > 0 ? (int) Math.min(r.getLimit(), all.size()) : all.size();
            RangeResponse.Builder b = RangeResponse.newBuilder()
                    .setHeader(header())
                    .setMore(size < all.size())
                    .setCount(all.size());
            all.subList(0, size).forEach(item -> b.addKvs(kv(item, r.getKeysOnly())));
            answer = b.build();
        }
        out.onNext(answer);
        out.onCompleted();
    }

    private void txn(TxnRequest r, StreamObserver<TxnResponse> out) {
        TxnResponse answer;
        synchronized (model) {
            boolean holds = r.getCompareList().stream().allMatch(c -> {
                Item item = model.now().get(c.getKey().toString(java.nio.charset.StandardCharsets.ISO_8859_1));
                return (item == null ? 0 : item.modified()) == c.getModRevision();
            });
            for (RequestOp op : holds ? r.getSuccessList() : List.<RequestOp>of()) {
                if (op.hasRequestPut()) {
                    model.put(
                            op.getRequestPut().getKey().toString(java.nio.charset.StandardCharsets.ISO_8859_1),
                            op.getRequestPut().getValue().toStringUtf8());
                } else {
                    model.delete(
                            op.getRequestDeleteRange().getKey().toString(java.nio.charset.StandardCharsets.ISO_8859_1));
                }
            }
            answer = TxnResponse.newBuilder()
                    .setHeader(header())
                    .setSucceeded(holds)
                    .build();
        }
        out.onNext(answer);
        out.onCompleted();
    }

    /** One watch stream with one watch, served by a thread of its own. */
    private final class Stream implements StreamObserver<WatchRequest> {
        private final StreamObserver<WatchResponse> out;
        private boolean progress;
        private boolean over;

        Stream(StreamObserver<WatchResponse> out) {
            this.out = out;
        }

        @Override
        public void onNext(WatchRequest r) {
            if (r.hasCreateRequest()) {
                StandInHost.daemon(() -> serve(r.getCreateRequest().getStartRevision()));
            } else {
                synchronized (model) {
                    progress = true;
                    model.notifyAll();
                }
            }
        }

        private void serve(long from) {
            try {
                long next = from;
                long cluster = model.cluster;
                out.onNext(WatchResponse.newBuilder()
                        .setHeader(headerAt(reached()))
                        .setCreated(true)
                        .build());
                while (true) {
                    List<Change> changes = new ArrayList<>();
                    WatchResponse answer = null;
                    synchronized (model) {
                        while (!over
                                && !closed
                                && next > reached()
                                && !progress
                                && !noLeader
                                && cluster == model.cluster
                                && next <= model.revision + 1) {
                            model.wait(500);
                        }
                        if (over || closed || cluster != model.cluster || next > model.revision + 1) {
                            out.onError(Status.UNAVAILABLE
                                    .withDescription("the member ends")
                                    .asRuntimeException());
                            return;
                        }
                        if (noLeader) {
                            out.onError(Status.UNAVAILABLE
                                    .withDescription("etcdserver: no leader")
                                    .asRuntimeException());
                            return;
                        }
                        if (next <= model.compacted && next <= reached()) {
                            answer = WatchResponse.newBuilder()
                                    .setHeader(header())
                                    .setCanceled(true)
                                    .setCompactRevision(model.compacted + 1)
                                    .build();
                            next = Long.MAX_VALUE;
                        } else if (next <= reached()) {
                            for (long end = Math.min(reached(), next + 50); next <= end; next++) {
                                changes.addAll(model.changes(next));
                            }
                        } else {
                            progress = false;
                            answer = WatchResponse.newBuilder()
                                    .setHeader(headerAt(reached()))
                                    .setWatchId(-1)
                                    .build();
                        }
                    }
                    if (answer != null) {
                        out.onNext(answer);
                        if (answer.getCanceled()) {
                            out.onCompleted();
                            return;
                        }
                    }
                    for (int i = 0; i < changes.size(); i += fragment) {
                        int end = (int) Math.min(changes.size(), (long) i + fragment);
                        WatchResponse.Builder b = WatchResponse.newBuilder()
                                .setHeader(headerAt(reached()))
                                .setFragment(end < changes.size());
                        changes.subList(i, end)
                                .forEach(c -> b.addEvents(Event.newBuilder()
                                        .setType(c.deleted() ? Event.EventType.DELETE : Event.EventType.PUT)
                                        .setKv(kv(c.item(), false))));
                        out.onNext(b.build());
                    }
                }
            } catch (InterruptedException | RuntimeException e) {
                // The client went away.
            }
        }

        private ResponseHeader headerAt(long revision) {
            return EtcdMember.this.header().toBuilder().setRevision(revision).build();
        }

        @Override
        public void onError(Throwable why) {
            onCompleted();
        }

        @Override
        public void onCompleted() {
            synchronized (model) {
                over = true;
                model.notifyAll();
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        synchronized (model) {
            model.notifyAll();
        }
        server.shutdownNow();
    }
}
