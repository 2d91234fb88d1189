package mintstair.registry.etcd;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import mintstair.config.ConfigException;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryTransport;
import mintstair.registry.etcd.api.AuthenticateResponse;
import mintstair.registry.etcd.api.RangeRequest;
import mintstair.registry.etcd.api.RangeResponse;
import mintstair.registry.etcd.api.WatchRequest;
import mintstair.registry.etcd.api.WatchResponse;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.registry.view.RegistryPosition;

/**
 * The transport for etcd, over gRPC. Reads one message of a call at a time. Closes the connection when its call fails
 * or is cancelled, so that the view, not the gRPC library, decides when to reconnect. Must be used on the executor's
 * thread only.
 */
public final class EtcdTransport implements RegistryTransport {
    private static final int NO_SERVER = -1;

    private final RegistryConfig config;
    private final Executor executor;
    private final Consumer<RegistryEvent> listener;
    private ManagedChannel channel;
    private int server = NO_SERVER;
    private long callId;
    /** The gRPC call in progress; null if there is none. */
    private ClientCall<?, ?> clientCall;
    /** The gRPC call in progress if it is a watch; otherwise null. */
    private ClientCall<WatchRequest, WatchResponse> watch;
    /** The token of the authenticated user; null if a new one must be requested or no user is configured. */
    private String token;

    /**
     * Creates the transport; connections are opened by calls.
     *
     * @param executor runs tasks on the one thread on which the transport is used and the listener is called
     */
    public EtcdTransport(RegistryConfig config, Executor executor, Consumer<RegistryEvent> listener) {
        this.config = config;
        this.executor = executor;
        this.listener = listener;
    }

    @Override
    public void execute(RegistryCall call) {
        if (call instanceof RegistryCall.Request request) {
            startRequest(request);
        } else if (call.callId() != callId) {
            // The call concerns a request that has been replaced.
            return;
        } else if (call instanceof RegistryCall.Cancel && clientCall != null) {
            close();
        } else if (call instanceof RegistryCall.RequestProgress && watch != null) {
            requestProgress();
        }
    }

    private void startRequest(RegistryCall.Request request) {
        callId = request.callId();
        try {
            connect(request.server());
        } catch (ConfigException e) {
            // The TLS files are read for each connection and may be just being replaced.
            listener.accept(new RegistryEvent.CallFailed(callId, Reason.DENIED, e.getMessage()));
            return;
        }
        startAuthenticated(request, true);
    }

    private void connect(int newServer) {
        if (channel != null && server == newServer) {
            return;
        }
        close();
        server = newServer;
        channel = EtcdApi.newChannel(config, config.endpoints().get(newServer), executor);
    }

    /**
     * Starts the request, with a token if a user is configured. If the server rejects the token, a new one is requested
     * once.
     */
    private void startAuthenticated(RegistryCall.Request request, boolean canRenewToken) {
        if (config.user() != null && token == null) {
            authenticate(() -> startAuthenticated(request, false));
            return;
        }
        long startedCallId = callId;
        start(request, status -> {
            if (EtcdMessages.isAuthenticationFailure(status) && token != null && canRenewToken) {
                token = null;
                startAuthenticated(request, false);
            } else {
                fail(startedCallId, status);
            }
        });
    }

    private void authenticate(Runnable onAuthenticated) {
        long startedCallId = callId;
        Consumer<AuthenticateResponse> onResponse = response -> {
            token = response.getToken();
            onAuthenticated.run();
        };
        startUnary(
                EtcdApi.AUTHENTICATE,
                EtcdMessages.authenticateRequest(config),
                onResponse,
                status -> fail(startedCallId, status));
    }

    private void start(RegistryCall.Request request, Consumer<Status> onFailure) {
        if (request instanceof RegistryCall.Read read) {
            RangeRequest page = EtcdMessages.pageRequest(read, config.prefix());
            startUnary(EtcdApi.RANGE, page, response -> onPage(read.callId(), response), onFailure);
        } else if (request instanceof RegistryCall.ReadPosition) {
            RangeRequest position = EtcdMessages.positionRequest(config.prefix());
            startUnary(EtcdApi.RANGE, position, response -> onPosition(request.callId(), response), onFailure);
        } else if (request instanceof RegistryCall.Watch watchCall) {
            startWatch(watchCall, onFailure);
        } else {
            throw new IllegalArgumentException("not a request for etcd: " + request);
        }
    }

    private <Q, R> void startUnary(
            MethodDescriptor<Q, R> method, Q message, Consumer<R> onResponse, Consumer<Status> onFailure) {
        ClientCall<Q, R> call = startCall(method, new ResponseListener<>(onResponse, onFailure, false));
        // A unary call reports its end only if a second message is requested; receiving one would be an error.
        call.request(2);
        call.sendMessage(message);
        call.halfClose();
    }

    private void startWatch(RegistryCall.Watch watchCall, Consumer<Status> onFailure) {
        long watchCallId = watchCall.callId();
        Consumer<WatchResponse> onResponse = response -> onWatchResponse(watchCallId, response);
        watch = startCall(EtcdApi.WATCH, new ResponseListener<>(onResponse, onFailure, true));
        watch.request(1);
        watch.sendMessage(EtcdMessages.watchRequest(watchCall, config.prefix()));
    }

    private <Q, R> ClientCall<Q, R> startCall(MethodDescriptor<Q, R> method, ResponseListener<R> responseListener) {
        ClientCall<Q, R> call = channel.newCall(method, CallOptions.DEFAULT);
        responseListener.call = call;
        clientCall = call;
        watch = null;
        call.start(responseListener, EtcdApi.headers(token));
        return call;
    }

    private void onPage(long pageCallId, RangeResponse response) {
        listener.accept(new RegistryEvent.Page(
                pageCallId,
                EtcdMessages.position(response.getHeader()),
                response.getKvsList().stream().map(EtcdMessages::entry).toList(),
                response.getMore()));
    }

    private void onPosition(long positionCallId, RangeResponse response) {
        listener.accept(new RegistryEvent.PositionRead(positionCallId, EtcdMessages.position(response.getHeader())));
    }

    private void onWatchResponse(long watchCallId, WatchResponse response) {
        if (response.getCanceled()) {
            onWatchCancelled(watchCallId, response);
            return;
        }
        RegistryPosition position = EtcdMessages.position(response.getHeader());
        if (response.getCreated()) {
            listener.accept(new RegistryEvent.WatchCreated(watchCallId, position));
        }
        if (response.getEventsCount() > 0 || response.getFragment()) {
            listener.accept(new RegistryEvent.Changes(
                    watchCallId, position, EtcdMessages.changes(response), response.getFragment()));
        } else if (!response.getCreated()) {
            listener.accept(new RegistryEvent.Progress(watchCallId, position));
        }
    }

    private void onWatchCancelled(long watchCallId, WatchResponse response) {
        RegistryEvent event = EtcdMessages.watchCancelled(watchCallId, response);
        if (event instanceof RegistryEvent.CallFailed) {
            if (EtcdMessages.isAuthenticationFailure(response)) {
                token = null;
            }
            close();
        }
        listener.accept(event);
    }

    /**
     * Reads the quorum's position by a separate call and requests the progress of the watch after that; in the reverse
     * order, an up-to-date watch could appear to lag.
     */
    private void requestProgress() {
        long checkedCallId = callId;
        ClientCall<WatchRequest, WatchResponse> checkedWatch = watch;
        ClientCall<RangeRequest, RangeResponse> positionCall = channel.newCall(EtcdApi.RANGE, CallOptions.DEFAULT);
        positionCall.start(
                new ClientCall.Listener<>() {
                    @Override
                    public void onMessage(RangeResponse response) {
                        if (checkedWatch == watch) {
                            checkedWatch.sendMessage(EtcdMessages.progressRequest());
                            listener.accept(new RegistryEvent.QuorumPosition(
                                    checkedCallId, EtcdMessages.position(response.getHeader())));
                        }
                    }

                    @Override
                    public void onClose(Status status, Metadata trailers) {
                        if (checkedWatch == watch && !status.isOk()) {
                            if (EtcdMessages.isAuthenticationFailure(status)) {
                                token = null;
                            }
                            fail(checkedCallId, status);
                        }
                    }
                },
                EtcdApi.headers(token));
        positionCall.request(2);
        positionCall.sendMessage(EtcdMessages.positionRequest(config.prefix()));
        positionCall.halfClose();
    }

    private void fail(long failedCallId, Status status) {
        close();
        listener.accept(EtcdMessages.failure(failedCallId, status));
    }

    @Override
    public void close() {
        clientCall = null;
        watch = null;
        if (channel != null) {
            channel.shutdownNow();
            channel = null;
        }
    }

    /**
     * Passes on the responses and the failure of its call while that is the call in progress. The next message of a
     * stream is requested once the previous one has been handled.
     */
    private final class ResponseListener<R> extends ClientCall.Listener<R> {
        private final Consumer<R> onResponse;
        private final Consumer<Status> onFailure;
        private final boolean streaming;
        private ClientCall<?, R> call;

        ResponseListener(Consumer<R> onResponse, Consumer<Status> onFailure, boolean streaming) {
            this.onResponse = onResponse;
            this.onFailure = onFailure;
            this.streaming = streaming;
        }

        private boolean isInProgress() {
            return call == clientCall;
        }

        @Override
        public void onMessage(R response) {
            if (!isInProgress()) {
                return;
            }
            if (!streaming) {
                clientCall = null;
            }
            onResponse.accept(response);
            if (streaming && isInProgress()) {
                call.request(1);
            }
        }

        @Override
        public void onClose(Status status, Metadata trailers) {
            if (!isInProgress()) {
                return;
            }
            clientCall = null;
            boolean endedEarly = status.isOk();
            onFailure.accept(
                    endedEarly ? Status.UNAVAILABLE.withDescription("the call was ended by the server") : status);
        }
    }
}
