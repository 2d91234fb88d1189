package mintstair.registry.etcd;

import com.google.protobuf.Message;
import io.grpc.ChannelCredentials;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.ManagedChannelBuilder;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.TlsChannelCredentials;
import io.grpc.protobuf.ProtoUtils;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import mintstair.config.RegistryConfig;
import mintstair.registry.TlsFiles;
import mintstair.registry.etcd.api.AuthenticateRequest;
import mintstair.registry.etcd.api.AuthenticateResponse;
import mintstair.registry.etcd.api.RangeRequest;
import mintstair.registry.etcd.api.RangeResponse;
import mintstair.registry.etcd.api.TxnRequest;
import mintstair.registry.etcd.api.TxnResponse;
import mintstair.registry.etcd.api.WatchRequest;
import mintstair.registry.etcd.api.WatchResponse;

/**
 * Descriptors of the methods of etcd's v3 API that the registry client uses (services KV, Watch and Auth of etcd's
 * rpc.proto), and the channels and headers of their calls.
 */
final class EtcdApi {
    static final MethodDescriptor<RangeRequest, RangeResponse> RANGE =
            method("KV/Range", MethodType.UNARY, RangeRequest.getDefaultInstance(), RangeResponse.getDefaultInstance());
    static final MethodDescriptor<TxnRequest, TxnResponse> TXN =
            method("KV/Txn", MethodType.UNARY, TxnRequest.getDefaultInstance(), TxnResponse.getDefaultInstance());
    static final MethodDescriptor<WatchRequest, WatchResponse> WATCH = method(
            "Watch/Watch",
            MethodType.BIDI_STREAMING,
            WatchRequest.getDefaultInstance(),
            WatchResponse.getDefaultInstance());
    static final MethodDescriptor<AuthenticateRequest, AuthenticateResponse> AUTHENTICATE = method(
            "Auth/Authenticate",
            MethodType.UNARY,
            AuthenticateRequest.getDefaultInstance(),
            AuthenticateResponse.getDefaultInstance());

    /** Holds a page of the largest values: exceeds the 32 MiB that all entries of a view together may have. */
    private static final int MAX_MESSAGE_BYTES = 40 << 20;

    private static final Metadata.Key<String> TOKEN = Metadata.Key.of("token", Metadata.ASCII_STRING_MARSHALLER);
    private static final Metadata.Key<String> HAS_LEADER =
            Metadata.Key.of("hasleader", Metadata.ASCII_STRING_MARSHALLER);

    private EtcdApi() {}

    private static <Q extends Message, R extends Message> MethodDescriptor<Q, R> method(
            String name, MethodType type, Q request, R response) {
        return MethodDescriptor.<Q, R>newBuilder()
                .setType(type)
                .setFullMethodName("etcdserverpb." + name)
                .setRequestMarshaller(ProtoUtils.marshaller(request))
                .setResponseMarshaller(ProtoUtils.marshaller(response))
                .build();
    }

    /**
     * Creates a channel to one server. The TLS files are read each time, because they may have been replaced.
     *
     * @param executor runs the callbacks; null for the gRPC library's own threads
     * @throws mintstair.config.ConfigException if a TLS file is not usable
     */
    static ManagedChannel newChannel(RegistryConfig config, InetSocketAddress server, Executor executor) {
        ManagedChannelBuilder<?> builder =
                Grpc.newChannelBuilderForAddress(server.getHostString(), server.getPort(), credentials(config));
        if (executor != null) {
            builder.executor(executor);
        }
        return builder.maxInboundMessageSize(MAX_MESSAGE_BYTES).disableRetry().build();
    }

    private static ChannelCredentials credentials(RegistryConfig config) {
        if (config.tls() == null) {
            return InsecureChannelCredentials.create();
        }
        TlsFiles files = new TlsFiles(config.tls());
        TlsChannelCredentials.Builder builder =
                TlsChannelCredentials.newBuilder().trustManager(files.trustManagers());
        if (files.keyManagers() != null) {
            builder.keyManager(files.keyManagers());
        }
        return builder.build();
    }

    /**
     * Returns the headers of a call. They require a leader: a server without one rejects the call at once and ends the
     * watches of its clients.
     *
     * @param token the token of the authenticated user; null if there is none
     */
    static Metadata headers(String token) {
        Metadata headers = new Metadata();
        headers.put(HAS_LEADER, "true");
        if (token != null) {
            headers.put(TOKEN, token);
        }
        return headers;
    }
}
