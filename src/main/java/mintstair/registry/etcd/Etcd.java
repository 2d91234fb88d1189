package mintstair.registry.etcd;

import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import io.grpc.CallOptions;
import io.grpc.ChannelCredentials;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.ManagedChannelBuilder;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.TlsChannelCredentials;
import io.grpc.protobuf.ProtoUtils;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.Executor;
import mintstair.config.RegistryConfig;
import mintstair.registry.TlsFiles;
import mintstair.registry.etcd.api.AuthenticateRequest;
import mintstair.registry.etcd.api.AuthenticateResponse;
import mintstair.registry.etcd.api.KeyValue;
import mintstair.registry.etcd.api.RangeRequest;
import mintstair.registry.etcd.api.RangeResponse;
import mintstair.registry.etcd.api.ResponseHeader;
import mintstair.registry.etcd.api.TxnRequest;
import mintstair.registry.etcd.api.TxnResponse;
import mintstair.registry.etcd.api.WatchRequest;
import mintstair.registry.etcd.api.WatchResponse;
import mintstair.registry.view.Event;
import mintstair.registry.view.Header;
import mintstair.registry.view.Item;

/**
 * The calls of etcd's v3 API that are used, and what their parts mean here. Source: the API's published reference
 * (rpc.proto: KV, Watch, Auth) and its guarantees.
 */
final class Etcd {
    static final MethodDescriptor<RangeRequest, RangeResponse> RANGE = method(
            "KV/Range",
            MethodDescriptor.MethodType.UNARY,
            RangeRequest.getDefaultInstance(),
            RangeResponse.getDefaultInstance());
    static final MethodDescriptor<TxnRequest, TxnResponse> TXN = method(
            "KV/Txn",
            MethodDescriptor.MethodType.UNARY,
            TxnRequest.getDefaultInstance(),
            TxnResponse.getDefaultInstance());
    static final MethodDescriptor<WatchRequest, WatchResponse> WATCH = method(
            "Watch/Watch",
            MethodDescriptor.MethodType.BIDI_STREAMING,
            WatchRequest.getDefaultInstance(),
            WatchResponse.getDefaultInstance());
    static final MethodDescriptor<AuthenticateRequest, AuthenticateResponse> AUTHENTICATE = method(
            "Auth/Authenticate",
            MethodDescriptor.MethodType.UNARY,
            AuthenticateRequest.getDefaultInstance(),
            AuthenticateResponse.getDefaultInstance());

    /** A page of the largest values fits; more than all entries together may hold never comes in one message. */
    private static final int MOST_MESSAGE = 40 << 20;

    private static final Metadata.Key<String> TOKEN = Metadata.Key.of("token", Metadata.ASCII_STRING_MARSHALLER);
    private static final Metadata.Key<String> HAS_LEADER =
            Metadata.Key.of("hasleader", Metadata.ASCII_STRING_MARSHALLER);

    private Etcd() {}

    private static <A extends Message, B extends Message> MethodDescriptor<A, B> method(
            String name, MethodDescriptor.MethodType type, A asked, B answered) {
        return MethodDescriptor.<A, B>newBuilder()
                .setType(type)
                .setFullMethodName("etcdserverpb." + name)
                .setRequestMarshaller(ProtoUtils.marshaller(asked))
                .setResponseMarshaller(ProtoUtils.marshaller(answered))
                .build();
    }

    /** A channel to one endpoint; its callbacks run on {@code executor}. */
    static ManagedChannel channel(RegistryConfig config, InetSocketAddress address, Executor executor) {
        ChannelCredentials credentials = InsecureChannelCredentials.create();
        if (config.tls() != null) {
            TlsFiles files = new TlsFiles(config.tls());
            TlsChannelCredentials.Builder builder =
                    TlsChannelCredentials.newBuilder().trustManager(files.trust());
            credentials = (files.keys() == null ? builder : builder.keyManager(files.keys())).build();
        }
        ManagedChannelBuilder<?> builder =
                Grpc.newChannelBuilderForAddress(address.getHostString(), address.getPort(), credentials);
        return (executor == null ? builder : builder.executor(executor))
                .maxInboundMessageSize(MOST_MESSAGE)
                .disableRetry()
                .build();
    }

    /** A member that knows no leader is to say so at once; a watch of such a member is ended by it. */
    static Metadata headers(String token) {
        Metadata headers = new Metadata();
        headers.put(HAS_LEADER, "true");
        if (token != null) {
            headers.put(TOKEN, token);
        }
        return headers;
    }

    /** What the end of a call means. */
    static Event ended(long call, Status status) {
        String text = String.valueOf(status.getDescription());
        String lower = text.toLowerCase(Locale.ROOT);
        Event.Reason reason = switch (status.getCode()) {
            case OUT_OF_RANGE -> lower.contains("compacted") ? null : Event.Reason.LAGS;
            case UNAVAILABLE ->
                lower.contains("no leader") || lower.contains("request timed out") || lower.contains("leader changed")
                        ? Event.Reason.NO_LEADER
                        : Event.Reason.BROKEN;
            case UNAUTHENTICATED, PERMISSION_DENIED -> Event.Reason.DENIED;
            case INVALID_ARGUMENT ->
                lower.contains("user name") || lower.contains("authentication")
                        ? Event.Reason.DENIED
                        : Event.Reason.MALFORMED;
            case DEADLINE_EXCEEDED -> Event.Reason.SILENT;
            case RESOURCE_EXHAUSTED, FAILED_PRECONDITION -> Event.Reason.BUSY;
            case INTERNAL, UNIMPLEMENTED, DATA_LOSS -> Event.Reason.MALFORMED;
            default -> Event.Reason.BROKEN;
        };
        return reason == null
                ? new Event.Compacted(call)
                : new Event.Ended(call, reason, status.getCode() + " " + text.split("\n")[0]);
    }

    /** Whether the token was not accepted, so that another must be asked for. */
    static boolean isToken(Status status) {
        return status.getCode() == Status.Code.UNAUTHENTICATED;
    }

    static Header header(ResponseHeader header) {
        return new Header(header.getClusterId(), header.getRevision(), header.getRaftTerm());
    }

    static Item item(KeyValue kv) {
        return new Item(
                kv.getKey().toString(StandardCharsets.ISO_8859_1),
                kv.getValue().toByteArray(),
                kv.getCreateRevision(),
                kv.getModRevision());
    }

    static ByteString bytes(String key) {
        return ByteString.copyFrom(key, StandardCharsets.ISO_8859_1);
    }

    /** The first key after all that begin with the prefix, which ends with a character below the last one. */
    static ByteString endOf(String prefix) {
        int last = prefix.length() - 1;
        return bytes(prefix.substring(0, last) + (char) (prefix.charAt(last) + 1));
    }

    static CallOptions options() {
        return CallOptions.DEFAULT;
    }
}
