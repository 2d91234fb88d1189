package mintstair.registry.etcd;

import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.MetadataUtils;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryEditor;
import mintstair.registry.etcd.api.AuthenticateRequest;
import mintstair.registry.etcd.api.Compare;
import mintstair.registry.etcd.api.DeleteRangeRequest;
import mintstair.registry.etcd.api.PutRequest;
import mintstair.registry.etcd.api.RangeRequest;
import mintstair.registry.etcd.api.RangeResponse;
import mintstair.registry.etcd.api.RequestOp;
import mintstair.registry.etcd.api.TxnRequest;
import mintstair.registry.view.Item;

/** Single entries of etcd; the endpoints are tried in turn, a change only as long as it provably was not made. */
public final class EtcdEditor implements RegistryEditor {
    private static final long WAIT_SECONDS = 3;
    private final RegistryConfig config;
    private ManagedChannel channel;

    public EtcdEditor(RegistryConfig config) {
        this.config = config;
    }

    @Override
    public Item get(String key) throws IOException {
        RangeRequest asked = RangeRequest.newBuilder().setKey(Etcd.bytes(key)).build();
        RangeResponse answer = ask(headers -> call(Etcd.RANGE, asked, headers), false);
        return answer.getKvsCount() == 0 ? null : Etcd.item(answer.getKvs(0));
    }

    @Override
    public boolean put(String key, byte[] value, long expected) throws IOException {
        return change(
                key,
                expected,
                RequestOp.newBuilder()
                        .setRequestPut(PutRequest.newBuilder()
                                .setKey(Etcd.bytes(key))
                                .setValue(com.google.protobuf.ByteString.copyFrom(value)))
                        .build());
    }

    @Override
    public boolean delete(String key, long expected) throws IOException {
        return change(
                key,
                expected,
                RequestOp.newBuilder()
                        .setRequestDeleteRange(DeleteRangeRequest.newBuilder().setKey(Etcd.bytes(key)))
                        .build());
    }

    private boolean change(String key, long expected, RequestOp op) throws IOException {
        TxnRequest asked = TxnRequest.newBuilder()
                .addCompare(Compare.newBuilder()
                        .setKey(Etcd.bytes(key))
                        .setTarget(Compare.CompareTarget.MOD)
                        .setResult(Compare.CompareResult.EQUAL)
                        .setModRevision(expected))
                .addSuccess(op)
                .build();
        return ask(token -> call(Etcd.TXN, asked, token), true).getSucceeded();
    }

    private <A, B> B call(MethodDescriptor<A, B> method, A asked, String token) {
        return ClientCalls.blockingUnaryCall(
                io.grpc.ClientInterceptors.intercept(
                        channel, MetadataUtils.newAttachHeadersInterceptor(Etcd.headers(token))),
                method,
                Etcd.options().withDeadlineAfter(WAIT_SECONDS, TimeUnit.SECONDS),
                asked);
    }

    private <T> T ask(Function<String, T> asking, boolean changes) throws IOException {
        String why = "";
        for (InetSocketAddress each : config.endpoints()) {
            close();
            channel = Etcd.channel(config, each, null);
            boolean maybe = false;
            try {
                String token = config.user() == null
                        ? null
                        : call(
                                        Etcd.AUTHENTICATE,
                                        AuthenticateRequest.newBuilder()
                                                .setName(config.user())
                                                .setPassword(config.secret())
                                                .build(),
                                        null)
                                .getToken();
                // A read first: an endpoint that does not even answer that has certainly not taken the change.
                call(
                        Etcd.RANGE,
                        RangeRequest.newBuilder()
                                .setKey(Etcd.bytes(config.prefix()))
                                .setKeysOnly(true)
                                .build(),
                        token);
                maybe = changes;
                return asking.apply(token);
            } catch (StatusRuntimeException e) {
                why = e.getStatus().getCode() + " "
                        + String.valueOf(e.getStatus().getDescription()).split("\n")[0];
                if (maybe && e.getStatus().getCode() != Status.Code.PERMISSION_DENIED) {
                    throw new IOException("the change may have been made, look before it is tried again: " + why);
                }
            }
        }
        throw new IOException("no endpoint answers: " + why);
    }

    @Override
    public void close() {
        if (channel != null) {
            channel.shutdownNow();
            channel = null;
        }
    }
}
