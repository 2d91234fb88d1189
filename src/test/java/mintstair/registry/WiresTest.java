package mintstair.registry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static mintstair.program.Program.await;
import static mintstair.registry.Registries.config;
import static mintstair.registry.Registries.host;
import static mintstair.registry.Registries.key;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.TlsServerCredentials;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import mintstair.config.ConfigException;
import mintstair.config.RegistryConfig;
import mintstair.config.RegistryConfig.Kind;
import mintstair.registry.etcd.EtcdMember;
import mintstair.registry.view.ViewUpdate;
import mintstair.standin.ConsulServer;
import mintstair.standin.Keys;
import mintstair.standin.RegistryModel;
import mintstair.standin.Relay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The client over both wires, against stand-in registries behind relays that break. */
class WiresTest {
    /** The stand-in's library tells of each handshake that fails. */
    private static final Logger LIBRARY = Logger.getLogger("io.grpc");

    static {
        LIBRARY.setLevel(Level.OFF);
    }

    private final RegistryModel model = new RegistryModel();

    @TempDir
    Path folder;

    private void awaitVersion(Registries seen, String uid, int version) {
        await(() -> seen.version(uid) == version, uid + " at " + version + ", seen " + seen.hosts + " " + seen.lines);
    }

    /** Every kind of break in turn, with a change behind each: none is missed, however it ended. */
    @Test
    void etcdIsFollowedThroughEveryKindOfBreak() throws Exception {
        TreeMap<String, String> many = new TreeMap<>();
        for (int i = 0; i < 1_200; i++) {
            many.put(key("h" + i), host("h" + i, i));
        }
        model.change(many);
        try (EtcdMember one = new EtcdMember(model);
                EtcdMember two = new EtcdMember(model);
                Relay first = new Relay(one.port());
                Relay second = new Relay(two.port());
                Registries seen =
                        new Registries(config(Kind.ETCD, null, null, null, null, first.port(), second.port()), 3)) {
            awaitVersion(seen, "h1199", 1199);
            assertTrue(one.reads.get() + two.reads.get() >= 3, "three pages");
            one.fragment = two.fragment = 1;
            model.change(new TreeMap<>(Map.of(key("h1"), host("h1", 5001), key("h2"), host("h2", 5002))));
            awaitVersion(seen, "h2", 5002);
            assertEquals(5001, seen.version("h1"));
            List<Relay> relays = List.of(first, second);
            for (int n = 0; n < 8; n++) {
                int kind = n;
                int at = seen.client.figures().endpoint();
                Relay there = relays.get(at);
                EtcdMember member = at == 0 ? one : two;
                switch (kind) {
                    case 0 -> there.cut();
                    case 1 -> there.tear(37);
                    case 2 -> there.refuse(true);
                    case 3 -> there.silence(true);
                    case 4 -> member.lagsAt = model.revision;
                    case 5 -> {
                        there.cut();
                        model.delete(key("h9"));
                        model.put(key("h8"), host("h8", 7000));
                        model.compact(model.revision);
                    }
                    case 6 -> member.noLeader = true;
                    default -> {
                        model.restore(model.revision - 1, 0xBEEF);
                        first.cut();
                        second.cut();
                    }
                }
                model.put(key("h3"), host("h3", 6000 + n));
                awaitVersion(seen, "h3", 6000 + n);
                there.refuse(false);
                there.silence(false);
                member.noLeader = false;
                member.lagsAt = -1;
                // The next break meets a watch that has begun.
                await(() -> seen.client.figures().age() < 300_000, "a sign of life after break " + kind);
            }
            assertEquals(-1, seen.version("h9"), "gone behind a compaction");
            assertEquals(7000, seen.version("h8"));
            assertEquals(1, seen.client.figures().counts().get("compacted"));
            assertEquals(0xBEEF, seen.client.figures().cluster());
        }
    }

    @Test
    void consulIsFollowedThroughEveryKindOfBreak() throws Exception {
        model.put(key("a"), host("a", 1));
        try (ConsulServer one = new ConsulServer(model, null);
                ConsulServer two = new ConsulServer(model, null);
                Relay first = new Relay(one.port());
                Relay second = new Relay(two.port());
                Registries seen =
                        new Registries(config(Kind.CONSUL, null, null, null, null, first.port(), second.port()), 3)) {
            awaitVersion(seen, "a", 1);
            List<Relay> relays = List.of(first, second);
            for (int kind = 0; kind < 8; kind++) {
                int at = seen.client.figures().endpoint();
                Relay there = relays.get(at);
                ConsulServer server = at == 0 ? one : two;
                switch (kind) {
                    case 0 -> there.cut();
                    case 1 -> there.tear(30);
                    case 2 -> there.refuse(true);
                    case 3 -> there.silence(true);
                    case 4 -> server.status = 429;
                    case 5 -> server.status = 503;
                    case 6 -> server.noLeader = true;
                    default -> {
                        model.put(key("gone"), host("gone", 1));
                        awaitVersion(seen, "gone", 1);
                        model.restore(model.revision - 3, 0);
                    }
                }
                model.put(key("a"), host("a", 10 + kind));
                awaitVersion(seen, "a", 10 + kind);
                there.refuse(false);
                there.silence(false);
                server.status = 0;
                server.noLeader = false;
            }
            assertEquals(1, seen.client.figures().counts().get("set_back"));
            assertEquals(-1, seen.version("gone"));
        }
    }

    @Test
    void usersAreAuthenticatedAndTheirTokensRenewed() throws Exception {
        model.put(key("a"), host("a", 1));
        try (EtcdMember member = new EtcdMember(model)) {
            member.users = Map.of("proxy", "secret");
            try (Registries seen = new Registries(config(Kind.ETCD, "proxy", "secret", null, null, member.port()), 1);
                    Registries stranger =
                            new Registries(config(Kind.ETCD, "proxy", "guessed", null, null, member.port()), 1)) {
                awaitVersion(seen, "a", 1);
                int before = member.authenticated.get();
                member.tokens.clear();
                await(() -> member.authenticated.get() > before, "a new token");
                model.put(key("a"), host("a", 2));
                awaitVersion(seen, "a", 2);
                await(() -> stranger.client.figures().counts().getOrDefault("breaks_denied", 0L) > 0, "the refusal");
                assertTrue(stranger.hosts.isEmpty());
            }
        }
    }

    @Test
    void tlsShowsBothSidesCertificatesAndAStrangerGetsNothing() throws Exception {
        Keys server = new Keys(folder, "server");
        Keys client = new Keys(folder, "client");
        model.put(key("a"), host("a", 1));
        RegistryConfig.Tls known = new RegistryConfig.Tls(server.certificate, client.certificate, client.key);
        RegistryConfig.Tls unknown = new RegistryConfig.Tls(server.certificate, null, null);
        RegistryConfig.Tls distrusting = new RegistryConfig.Tls(client.certificate, client.certificate, client.key);
        try (EtcdMember member = new EtcdMember(
                        model,
                        TlsServerCredentials.newBuilder()
                                .keyManager(server.certificate.toFile(), server.key.toFile())
                                .trustManager(client.certificate.toFile())
                                .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
                                .build());
                ConsulServer consul = new ConsulServer(
                        model,
                        new TlsFiles(new RegistryConfig.Tls(client.certificate, server.certificate, server.key))
                                .context());
                Registries seen = new Registries(config(Kind.ETCD, null, null, known, null, member.port()), 1);
                Registries polled = new Registries(config(Kind.CONSUL, null, null, known, null, consul.port()), 1);
                Registries bare = new Registries(config(Kind.ETCD, null, null, unknown, null, member.port()), 1);
                Registries wary = new Registries(config(Kind.ETCD, null, null, distrusting, null, member.port()), 1);
                Registries waryToo =
                        new Registries(config(Kind.CONSUL, null, null, distrusting, null, consul.port()), 1)) {
            awaitVersion(seen, "a", 1);
            awaitVersion(polled, "a", 1);
            for (Registries none : List.of(bare, wary, waryToo)) {
                await(() -> none.client.figures().counts().getOrDefault("breaks", 0L) > 1, "the refusals");
                assertTrue(none.hosts.isEmpty());
            }
        }
        Files.writeString(folder.resolve("none.pem"), "nothing");
        ConfigException bad = assertThrows(
                ConfigException.class,
                () -> new TlsFiles(new RegistryConfig.Tls(folder.resolve("none.pem"), null, null)));
        assertTrue(bad.getMessage().startsWith(folder + "/none.pem: "), bad.getMessage());
    }

    @Test
    void commandsChangeOnlyWhatTheyHaveRead() throws Exception {
        try (EtcdMember member = new EtcdMember(model);
                ConsulServer consul = new ConsulServer(model, null)) {
            for (RegistryConfig at : List.of(
                    config(Kind.ETCD, null, null, null, null, 1, member.port()),
                    config(Kind.CONSUL, null, null, null, null, 1, consul.port()))) {
                assertEquals("0: a is added\n", run(at, "put-host", host("a", 1)));
                assertEquals("0: a drains\n", run(at, "drain", "a"));
                assertTrue(new String(model.now().get(key("a")).value(), UTF_8).contains("\"state\":\"DRAINING\""));
                assertTrue(
                        new String(model.now().get(key("a")).value(), UTF_8).contains("\"boot_ms\":1"),
                        "what else there was stays");
                long stale = model.revision - 1;
                assertEquals(
                        "1: ", run(at, "put-host", "--if-revision", "" + stale, host("a", 2)), "a lost race is told");
                assertTrue(run(at, "show").contains("a DRAINING 127.0.0.1:5432 group=1"));
                assertEquals("0: a is deleted\n", run(at, "delete", "a"));
                assertThrows(ConfigException.class, () -> run(at, "drain", "a"));
                assertThrows(IllegalArgumentException.class, () -> run(at, "put-host", "{}"));
            }
        }
    }

    private static String run(RegistryConfig config, String name, String... words) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int status = new RegistryCommand(config, new PrintStream(bytes)).run(name, List.of(words));
        return status + ": " + bytes;
    }

    @Test
    void aRaceLostBetweenReadAndWriteChangesNothing() throws Exception {
        try (EtcdMember member = new EtcdMember(model);
                ConsulServer consul = new ConsulServer(model, null)) {
            for (RegistryConfig at : List.of(
                    config(Kind.ETCD, null, null, null, null, member.port()),
                    config(Kind.CONSUL, null, null, null, null, consul.port()))) {
                try (RegistryEditor editor = RegistryClient.editor(at)) {
                    assertTrue(editor.put(key("a"), host("a", 1).getBytes(UTF_8), 0));
                    long read = editor.get(key("a")).modified();
                    model.put(key("a"), host("a", 2));
                    assertFalse(editor.put(key("a"), host("a", 3).getBytes(UTF_8), read));
                    assertFalse(editor.delete(key("a"), read));
                    assertEquals(host("a", 2), new String(editor.get(key("a")).value(), UTF_8));
                    assertTrue(editor.delete(key("a"), editor.get(key("a")).modified()));
                    assertNull(editor.get(key("a")));
                }
            }
        }
    }

    @Test
    void theSnapshotServesWithTheRegistryDownAndIsGoneOnFromWithoutReading() throws Exception {
        Path file = folder.resolve("snapshot");
        model.put(key("a"), host("a", 1));
        try (EtcdMember member = new EtcdMember(model)) {
            RegistryConfig config = config(Kind.ETCD, null, null, null, file, member.port());
            try (Registries seen = new Registries(config, 1)) {
                awaitVersion(seen, "a", 1);
                await(() -> Files.exists(file), "the snapshot");
            }
            try (Registries down = new Registries(config(Kind.ETCD, null, null, null, file, 1), 1)) {
                awaitVersion(down, "a", 1);
                assertTrue(((ViewUpdate.Endpoints) down.told.stream()
                                .filter(t -> t instanceof ViewUpdate.Endpoints)
                                .findFirst()
                                .orElseThrow())
                        .old());
                assertFalse(down.client.figures().live());
                assertTrue(down.client.figures().age() > 0);
            }
            model.put(key("b"), host("b", 2));
            int before = member.reads.get();
            try (Registries again = new Registries(config, 1)) {
                awaitVersion(again, "b", 2);
                assertEquals(1, member.reads.get() - before, "a sign of life, no reading");
            }
        }
    }
}
