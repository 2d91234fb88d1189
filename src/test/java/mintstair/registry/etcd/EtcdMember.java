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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.registry.etcd.api.AuthenticateRequest;
import mintstair.registry.etcd.api.AuthenticateResponse;
import mintstair.registry.etcd.api.Compare;
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
import mintstair.registry.view.EntryChange;
import mintstair.registry.view.RegistryEntry;
import mintstair.standin.RegistryModel;
import mintstair.standin.StandInHost;

/**
 * A stand-in server of an etcd cluster. Implements the part of etcd's published v3 API that the registry client uses;
 * tests set its fields to make it fail. Members of one cluster share a {@link RegistryModel}.
 */
public final class EtcdMember implements AutoCloseable {
    /** Runs at the start of each call of the KV and Watch services. */
    public volatile Runnable onCall = () -> {};

    public final AtomicInteger reads = new AtomicInteger();
    public final AtomicInteger authentications = new AtomicInteger();
    /** The revision at which the member's watches stop; negative if the member is up to date. */
    public volatile long lagsAt = -1;

    public volatile boolean noLeader;
    /** The maximum number of changes in one message of a watch; more are sent in fragments. */
    public volatile int maxChangesPerMessage = Integer.MAX_VALUE;
    /** Passwords by user; empty if no authentication is required. */
    public volatile Map<String, String> users = Map.of();

    /** The valid tokens; a test clears the set to make all of them expire. */
    public final Set<String> tokens = ConcurrentHashMap.newKeySet();

    private final RegistryModel model;
    private final Server server;
    private volatile boolean closed;

    public EtcdMember(RegistryModel model) throws IOException {
        this(model, InsecureServerCredentials.create());
    }

    public EtcdMember(RegistryModel model, ServerCredentials credentials) throws IOException {
        this.model = model;
        ServerInterceptor callFilter = new CallFilter();
        server = OkHttpServerBuilder.forPort(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), credentials)
                .executor(daemonThreads())
                .addService(ServerInterceptors.intercept(keyValueService(), callFilter))
                .addService(ServerInterceptors.intercept(watchService(), callFilter))
                .addService(authenticationService())
                .build()
                .start();
    }

    private static ExecutorService daemonThreads() {
        return Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "etcd");
            thread.setDaemon(true);
            return thread;
        });
    }

    private ServerServiceDefinition keyValueService() {
        return ServerServiceDefinition.builder("etcdserverpb.KV")
                .addMethod(EtcdApi.RANGE, ServerCalls.asyncUnaryCall(this::range))
                .addMethod(EtcdApi.TXN, ServerCalls.asyncUnaryCall(this::transaction))
                .build();
    }

    private ServerServiceDefinition watchService() {
        return ServerServiceDefinition.builder("etcdserverpb.Watch")
                .addMethod(EtcdApi.WATCH, ServerCalls.asyncBidiStreamingCall(WatchStream::new))
                .build();
    }

    private ServerServiceDefinition authenticationService() {
        return ServerServiceDefinition.builder("etcdserverpb.Auth")
                .addMethod(EtcdApi.AUTHENTICATE, ServerCalls.asyncUnaryCall(this::authenticate))
                .build();
    }

    public int port() {
        return server.getPort();
    }

    /** Rejects calls without a valid token, and all calls while there is no leader. */
    private final class CallFilter implements ServerInterceptor {
        private final Metadata.Key<String> tokenHeader = Metadata.Key.of("token", Metadata.ASCII_STRING_MARSHALLER);

        @Override
        public <Q, R> ServerCall.Listener<Q> interceptCall(
                ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
            onCall.run();
            Status rejection = rejection(headers.get(tokenHeader));
            if (rejection == null) {
                return next.startCall(call, headers);
            }
            call.close(rejection, new Metadata());
            return new ServerCall.Listener<>() {};
        }

        private Status rejection(String token) {
            if (!users.isEmpty() && (token == null || !tokens.contains(token))) {
                return Status.UNAUTHENTICATED.withDescription("etcdserver: invalid auth token");
            }
            return noLeader ? Status.UNAVAILABLE.withDescription("etcdserver: no leader") : null;
        }
    }

    private static <R> void respond(StreamObserver<R> out, R response) {
        out.onNext(response);
        out.onCompleted();
    }

    private void authenticate(AuthenticateRequest request, StreamObserver<AuthenticateResponse> out) {
        if (!request.getPassword().equals(users.get(request.getName()))) {
            out.onError(Status.INVALID_ARGUMENT
                    .withDescription("etcdserver: authentication failed, invalid user ID or password")
                    .asRuntimeException());
            return;
        }
        String token = "token" + authentications.incrementAndGet();
        tokens.add(token);
        respond(
                out,
                AuthenticateResponse.newBuilder()
                        .setHeader(header())
                        .setToken(token)
                        .build());
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

    /** Returns the newest revision that the member's watches have received. */
    private long newestRevision() {
        return lagsAt < 0 ? model.revision : Math.min(lagsAt, model.revision);
    }

    private static String keyText(ByteString key) {
        return key.toString(StandardCharsets.ISO_8859_1);
    }

    private static KeyValue keyValue(RegistryEntry entry, boolean keysOnly) {
        return KeyValue.newBuilder()
                .setKey(EtcdMessages.keyBytes(entry.key()))
                .setCreateRevision(entry.createRevision())
                .setModRevision(entry.modRevision())
                .setValue(keysOnly ? ByteString.EMPTY : ByteString.copyFrom(entry.value()))
                .build();
    }

    private void range(RangeRequest request, StreamObserver<RangeResponse> out) {
        reads.incrementAndGet();
        RangeResponse response;
        synchronized (model) {
            long revision = request.getRevision() == 0 ? model.revision : request.getRevision();
            if (revision < model.compacted || revision > model.revision) {
                String reason = revision > model.revision ? "is a future revision" : "has been compacted";
                out.onError(Status.OUT_OF_RANGE
                        .withDescription("etcdserver: mvcc: required revision " + reason)
                        .asRuntimeException());
                return;
            }
            response = rangeAt(request, revision);
        }
        respond(out, response);
    }

    private RangeResponse rangeAt(RangeRequest request, long revision) {
        String from = keyText(request.getKey());
        String end = request.getRangeEnd().isEmpty() ? from + '\0' : keyText(request.getRangeEnd());
        List<RegistryEntry> entries =
                new ArrayList<>(model.at(revision).subMap(from, end).values());
        int size = request.getLimit() > 0 ? (int) Math.min(request.getLimit(), entries.size()) : entries.size();
        RangeResponse.Builder response = RangeResponse.newBuilder()
                .setHeader(header())
                .setMore(size < entries.size())
                .setCount(entries.size());
        for (RegistryEntry entry : entries.subList(0, size)) {
            response.addKvs(keyValue(entry, request.getKeysOnly()));
        }
        return response.build();
    }

    private void transaction(TxnRequest request, StreamObserver<TxnResponse> out) {
        TxnResponse response;
        synchronized (model) {
            boolean succeeded = request.getCompareList().stream().allMatch(this::holds);
            if (succeeded) {
                request.getSuccessList().forEach(this::apply);
            }
            response = TxnResponse.newBuilder()
                    .setHeader(header())
                    .setSucceeded(succeeded)
                    .build();
        }
        respond(out, response);
    }

    private boolean holds(Compare compare) {
        RegistryEntry entry = model.now().get(keyText(compare.getKey()));
        return (entry == null ? 0 : entry.modRevision()) == compare.getModRevision();
    }

    private void apply(RequestOp operation) {
        if (operation.hasRequestPut()) {
            model.put(
                    keyText(operation.getRequestPut().getKey()),
                    operation.getRequestPut().getValue().toStringUtf8());
        } else {
            model.delete(keyText(operation.getRequestDeleteRange().getKey()));
        }
    }

    /** A watch stream with one watch, which is served by its own thread. */
    private final class WatchStream implements StreamObserver<WatchRequest> {
        private static final long ENDED = Long.MAX_VALUE;
        private static final int REVISIONS_PER_BATCH = 50;

        private final StreamObserver<WatchResponse> out;
        private long clusterId;
        private long nextRevision;
        private boolean progressRequested;
        private boolean cancelled;

        WatchStream(StreamObserver<WatchResponse> out) {
            this.out = out;
        }

        @Override
        public void onNext(WatchRequest request) {
            if (request.hasCreateRequest()) {
                StandInHost.daemon(() -> serve(request.getCreateRequest().getStartRevision()));
                return;
            }
            synchronized (model) {
                progressRequested = true;
                model.notifyAll();
            }
        }

        private void serve(long startRevision) {
            nextRevision = startRevision;
            clusterId = model.cluster;
            try {
                out.onNext(response().setCreated(true).build());
                while (nextRevision != ENDED) {
                    List<EntryChange> changes = new ArrayList<>();
                    WatchResponse response = awaitResponse(changes);
                    if (response != null) {
                        out.onNext(response);
                    }
                    sendFragments(changes);
                }
                out.onCompleted();
            } catch (WatchFailure failure) {
                out.onError(
                        Status.UNAVAILABLE.withDescription(failure.getMessage()).asRuntimeException());
            } catch (InterruptedException | RuntimeException e) {
                // The client has closed the connection.
            }
        }

        /** Waits for something to send. Returns a response, or null after adding changes to the list. */
        private WatchResponse awaitResponse(List<EntryChange> changes) throws InterruptedException, WatchFailure {
            synchronized (model) {
                while (!isFailed() && !noLeader && !progressRequested && nextRevision > newestRevision()) {
                    model.wait(500);
                }
                if (isFailed()) {
                    throw new WatchFailure("the member has ended the watch");
                }
                if (noLeader) {
                    throw new WatchFailure("etcdserver: no leader");
                }
                if (nextRevision > newestRevision()) {
                    progressRequested = false;
                    return response().setWatchId(-1).build();
                }
                if (nextRevision <= model.compacted) {
                    nextRevision = ENDED;
                    return WatchResponse.newBuilder()
                            .setHeader(header())
                            .setCanceled(true)
                            .setCompactRevision(model.compacted + 1)
                            .build();
                }
                long end = Math.min(newestRevision(), nextRevision + REVISIONS_PER_BATCH);
                for (; nextRevision <= end; nextRevision++) {
                    changes.addAll(model.changes(nextRevision));
                }
                return null;
            }
        }

        private boolean isFailed() {
            return cancelled || closed || clusterId != model.cluster || nextRevision > model.revision + 1;
        }

        private void sendFragments(List<EntryChange> changes) {
            for (int from = 0; from < changes.size(); from += maxChangesPerMessage) {
                int to = (int) Math.min(changes.size(), (long) from + maxChangesPerMessage);
                WatchResponse.Builder response = response().setFragment(to < changes.size());
                for (EntryChange change : changes.subList(from, to)) {
                    response.addEvents(Event.newBuilder()
                            .setType(change.deleted() ? Event.EventType.DELETE : Event.EventType.PUT)
                            .setKv(keyValue(change.entry(), false)));
                }
                out.onNext(response.build());
            }
        }

        /** Returns a response with the newest revision of this member in its header. */
        private WatchResponse.Builder response() {
            return WatchResponse.newBuilder()
                    .setHeader(
                            header().toBuilder().setRevision(newestRevision()).build());
        }

        @Override
        public void onError(Throwable cause) {
            onCompleted();
        }

        @Override
        public void onCompleted() {
            synchronized (model) {
                cancelled = true;
                model.notifyAll();
            }
        }
    }

    /** Signals that the member ends a watch with an error. */
    private static final class WatchFailure extends Exception {
        private static final long serialVersionUID = 1L;

        WatchFailure(String message) {
            super(message);
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
