package mintstair.registry;

import static mintstair.program.Program.await;
import static mintstair.registry.RecordingClient.config;
import static mintstair.registry.RegistryFixtures.hostJson;
import static mintstair.registry.RegistryFixtures.hostKey;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.ServerCredentials;
import io.grpc.TlsServerCredentials;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import mintstair.config.ConfigException;
import mintstair.config.RegistryConfig;
import mintstair.config.RegistryConfig.Kind;
import mintstair.registry.etcd.EtcdMember;
import mintstair.registry.view.ViewUpdate;
import mintstair.standin.ConsulServer;
import mintstair.standin.RegistryModel;
import mintstair.standin.SelfSignedCertificate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests authentication, TLS and the snapshot of the registry client against stand-in servers. */
class RegistryClientTest {
    /** Switched off, because the stand-in server's gRPC library logs each failed handshake. */
    private static final Logger GRPC_LOGGER = Logger.getLogger("io.grpc");

    static {
        GRPC_LOGGER.setLevel(Level.OFF);
    }

    private final RegistryModel model = new RegistryModel();

    @TempDir
    Path folder;

    private void putHost(String uid, int version) {
        model.put(hostKey(uid), hostJson(uid, version));
    }

    @Test
    void userIsAuthenticatedAndItsExpiredTokenIsRenewed() throws Exception {
        putHost("a", 1);
        try (EtcdMember member = new EtcdMember(model)) {
            member.users = Map.of("proxy", "secret");
            RegistryConfig validSecret = config(Kind.ETCD, "proxy", "secret", null, null, member.port());
            RegistryConfig invalidSecret = config(Kind.ETCD, "proxy", "guessed", null, null, member.port());
            try (RecordingClient client = new RecordingClient(validSecret, 1);
                    RecordingClient deniedClient = new RecordingClient(invalidSecret, 1)) {
                client.awaitVersion("a", 1);
                int before = member.authentications.get();
                member.tokens.clear();
                await(() -> member.authentications.get() > before, "a new token");
                putHost("a", 2);
                client.awaitVersion("a", 2);

                deniedClient.awaitCount("breaks_denied", 1);
                assertTrue(deniedClient.hosts.isEmpty());
            }
        }
    }

    @Test
    void connectionFailsUnlessBothSidesTrustEachOther() throws Exception {
        SelfSignedCertificate server = new SelfSignedCertificate(folder, "server");
        SelfSignedCertificate client = new SelfSignedCertificate(folder, "client");
        putHost("a", 1);
        RegistryConfig.Tls trusted = new RegistryConfig.Tls(server.certificate, client.certificate, client.key);
        RegistryConfig.Tls withoutCertificate = new RegistryConfig.Tls(server.certificate, null, null);
        RegistryConfig.Tls distrusting = new RegistryConfig.Tls(client.certificate, client.certificate, client.key);
        RegistryConfig.Tls serverFiles = new RegistryConfig.Tls(client.certificate, server.certificate, server.key);
        try (EtcdMember etcd = new EtcdMember(model, mutualTls(server, client));
                ConsulServer consul = new ConsulServer(model, new TlsFiles(serverFiles).sslContext());
                RecordingClient etcdClient = new RecordingClient(tlsConfig(Kind.ETCD, trusted, etcd.port()), 1);
                RecordingClient consulClient = new RecordingClient(tlsConfig(Kind.CONSUL, trusted, consul.port()), 1);
                RecordingClient rejected =
                        new RecordingClient(tlsConfig(Kind.ETCD, withoutCertificate, etcd.port()), 1);
                RecordingClient distrustingEtcd =
                        new RecordingClient(tlsConfig(Kind.ETCD, distrusting, etcd.port()), 1);
                RecordingClient distrustingConsul =
                        new RecordingClient(tlsConfig(Kind.CONSUL, distrusting, consul.port()), 1)) {
            etcdClient.awaitVersion("a", 1);
            consulClient.awaitVersion("a", 1);
            for (RecordingClient failing : List.of(rejected, distrustingEtcd, distrustingConsul)) {
                failing.awaitCount("breaks", 2);
                assertTrue(failing.hosts.isEmpty());
            }
        }
    }

    private static ServerCredentials mutualTls(SelfSignedCertificate server, SelfSignedCertificate client)
            throws IOException {
        return TlsServerCredentials.newBuilder()
                .keyManager(server.certificate.toFile(), server.key.toFile())
                .trustManager(client.certificate.toFile())
                .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
                .build();
    }

    private static RegistryConfig tlsConfig(Kind kind, RegistryConfig.Tls tls, int port) {
        return config(kind, null, null, tls, null, port);
    }

    @Test
    void exceptionNamesTheUnusableTlsFile() throws IOException {
        Files.writeString(folder.resolve("none.pem"), "nothing");
        RegistryConfig.Tls files = new RegistryConfig.Tls(folder.resolve("none.pem"), null, null);

        ConfigException failure = assertThrows(ConfigException.class, () -> new TlsFiles(files));

        assertTrue(failure.getMessage().startsWith(folder + "/none.pem: "), failure.getMessage());
    }

    @Test
    void hostsOfTheSnapshotAreReportedWhileTheRegistryIsDown() throws Exception {
        Path file = folder.resolve("snapshot");
        putHost("a", 1);
        try (EtcdMember member = new EtcdMember(model)) {
            writeSnapshot(config(Kind.ETCD, null, null, null, file, member.port()));
        }

        try (RecordingClient client = new RecordingClient(config(Kind.ETCD, null, null, null, file, 1), 1)) {
            client.awaitVersion("a", 1);
            assertTrue(firstEndpoints(client).cached());
            assertFalse(client.metrics().live());
            assertTrue(client.metrics().ageMicros() > 0);
        }
    }

    @Test
    void viewContinuesFromTheSnapshotWithoutAFullRead() throws Exception {
        Path file = folder.resolve("snapshot");
        putHost("a", 1);
        try (EtcdMember member = new EtcdMember(model)) {
            writeSnapshot(config(Kind.ETCD, null, null, null, file, member.port()));
        }
        putHost("b", 2);

        // Uses another server, because a read of the first client may still arrive at the first server.
        try (EtcdMember member = new EtcdMember(model);
                RecordingClient client =
                        new RecordingClient(config(Kind.ETCD, null, null, null, file, member.port()), 1)) {
            client.awaitVersion("b", 2);
            assertEquals(1, member.reads.get(), "expected one progress check and no page");
        }
    }

    private void writeSnapshot(RegistryConfig config) {
        try (RecordingClient client = new RecordingClient(config, 1)) {
            client.awaitVersion("a", 1);
            await(() -> Files.exists(config.snapshot()), "the snapshot");
        }
    }

    private static ViewUpdate.Endpoints firstEndpoints(RecordingClient client) {
        return (ViewUpdate.Endpoints) client.updates.stream()
                .filter(update -> update instanceof ViewUpdate.Endpoints)
                .findFirst()
                .orElseThrow();
    }
}
