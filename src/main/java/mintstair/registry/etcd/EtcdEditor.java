package mintstair.registry.etcd;

import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientInterceptors;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.MetadataUtils;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import mintstair.config.FirstLine;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryEditor;
import mintstair.registry.RegistryException;
import mintstair.registry.RegistryUnavailableException;
import mintstair.registry.UncertainChangeException;
import mintstair.registry.etcd.api.Compare;
import mintstair.registry.etcd.api.DeleteRangeRequest;
import mintstair.registry.etcd.api.PutRequest;
import mintstair.registry.etcd.api.RangeRequest;
import mintstair.registry.etcd.api.RangeResponse;
import mintstair.registry.etcd.api.RequestOp;
import mintstair.registry.etcd.api.TxnRequest;
import mintstair.registry.view.RegistryEntry;

/**
 * Reads and changes single entries of etcd. The servers are tried in turn; a change is sent to the next server only if
 * the previous one cannot have made it. Not thread-safe.
 */
public final class EtcdEditor implements RegistryEditor {
    private static final long TIMEOUT_SECONDS = 3;

    private final RegistryConfig config;
    private ManagedChannel channel;

    /** Creates the editor; connections are opened by calls. */
    public EtcdEditor(RegistryConfig config) {
        this.config = config;
    }

    @Override
    public RegistryEntry get(String key) throws RegistryException {
        RangeRequest request =
                RangeRequest.newBuilder().setKey(EtcdMessages.keyBytes(key)).build();
        RangeResponse response = callInTurn(token -> call(EtcdApi.RANGE, request, token), false);
        return response.getKvsCount() == 0 ? null : EtcdMessages.entry(response.getKvs(0));
    }

    @Override
    public boolean put(String key, byte[] value, long expectedRevision) throws RegistryException {
        PutRequest.Builder put =
                PutRequest.newBuilder().setKey(EtcdMessages.keyBytes(key)).setValue(ByteString.copyFrom(value));
        return compareAndSet(
                key, expectedRevision, RequestOp.newBuilder().setRequestPut(put).build());
    }

    @Override
    public boolean delete(String key, long expectedRevision) throws RegistryException {
        DeleteRangeRequest.Builder delete = DeleteRangeRequest.newBuilder().setKey(EtcdMessages.keyBytes(key));
        return compareAndSet(
                key,
                expectedRevision,
                RequestOp.newBuilder().setRequestDeleteRange(delete).build());
    }

    private boolean compareAndSet(String key, long expectedRevision, RequestOp operation) throws RegistryException {
        Compare.Builder compare = Compare.newBuilder()
                .setKey(EtcdMessages.keyBytes(key))
                .setTarget(Compare.CompareTarget.MOD)
                .setResult(Compare.CompareResult.EQUAL)
                .setModRevision(expectedRevision);
        TxnRequest request = TxnRequest.newBuilder()
                .addCompare(compare)
                .addSuccess(operation)
                .build();
        return callInTurn(token -> call(EtcdApi.TXN, request, token), true).getSucceeded();
    }

    /**
     * Makes the call to the servers in turn and returns the first response.
     *
     * @param call receives the token of the authenticated user; null if there is none
     * @param isChange whether the call changes the registry, so that it must not be repeated once it was sent
     * @throws UncertainChangeException if a change may have been made
     * @throws RegistryUnavailableException if the call failed at each server
     */
    private <T> T callInTurn(Function<String, T> call, boolean isChange) throws RegistryException {
        StatusRuntimeException lastFailure = null;
        for (InetSocketAddress server : config.endpoints()) {
            close();
            channel = EtcdApi.newChannel(config, server, null);
            boolean changeSent = false;
            try {
                String token = authenticate();
                probe(token);
                changeSent = isChange;
                return call.apply(token);
            } catch (StatusRuntimeException e) {
                lastFailure = e;
                if (changeSent && e.getStatus().getCode() != Status.Code.PERMISSION_DENIED) {
                    throw new UncertainChangeException(describe(e), e);
                }
            }
        }
        throw new RegistryUnavailableException(lastFailure == null ? "" : describe(lastFailure), lastFailure);
    }

    private String authenticate() {
        if (config.user() == null) {
            return null;
        }
        return call(EtcdApi.AUTHENTICATE, EtcdMessages.authenticateRequest(config), null)
                .getToken();
    }

    /** Makes a read before the call: a server that fails the read has not been sent the change. */
    private void probe(String token) {
        RangeRequest request = RangeRequest.newBuilder()
                .setKey(EtcdMessages.keyBytes(config.prefix()))
                .setKeysOnly(true)
                .build();
        call(EtcdApi.RANGE, request, token);
    }

    private <Q, R> R call(MethodDescriptor<Q, R> method, Q request, String token) {
        Channel withHeaders = ClientInterceptors.intercept(
                channel, MetadataUtils.newAttachHeadersInterceptor(EtcdApi.headers(token)));
        CallOptions options = CallOptions.DEFAULT.withDeadlineAfter(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return ClientCalls.blockingUnaryCall(withHeaders, method, options, request);
    }

    private static String describe(StatusRuntimeException failure) {
        Status status = failure.getStatus();
        return status.getCode() + " " + FirstLine.of(status.getDescription());
    }

    @Override
    public void close() {
        if (channel != null) {
            channel.shutdownNow();
            channel = null;
        }
    }
}
