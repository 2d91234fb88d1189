package mintstair.registry;

import static mintstair.registry.RecordingClient.config;
import static mintstair.registry.RegistryFixtures.hostJson;
import static mintstair.registry.RegistryFixtures.hostKey;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mintstair.config.ConfigException;
import mintstair.config.RegistryConfig;
import mintstair.config.RegistryConfig.Kind;
import mintstair.registry.etcd.EtcdMember;
import mintstair.standin.ConsulServer;
import mintstair.standin.RegistryModel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the commands and the editors that they use against stand-in servers of both kinds. The first configured server
 * is always down.
 */
class RegistryCommandTest {
    private static final int NO_SERVER_PORT = 1;

    private final RegistryModel model = new RegistryModel();
    private EtcdMember etcd;
    private ConsulServer consul;

    @BeforeEach
    void start() throws Exception {
        etcd = new EtcdMember(model);
        consul = new ConsulServer(model, null);
    }

    @AfterEach
    void stop() {
        etcd.close();
        consul.close();
    }

    private RegistryConfig configOf(Kind kind) {
        return config(kind, NO_SERVER_PORT, kind == Kind.ETCD ? etcd.port() : consul.port());
    }

    private static String run(RegistryConfig config, String command, String... arguments) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        int status = new RegistryCommand(config, new PrintStream(output)).run(command, List.of(arguments));
        return status + ": " + output;
    }

    private String valueOf(String uid) {
        return new String(model.now().get(hostKey(uid)).value(), StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void commandsAddDrainAndDeleteAHost(Kind kind) throws Exception {
        RegistryConfig config = configOf(kind);

        assertEquals("0: a is added\n", run(config, "put-host", hostJson("a", 1)));
        assertEquals("0: a drains\n", run(config, "drain", "a"));
        assertTrue(valueOf("a").contains("\"state\":\"DRAINING\""));
        assertTrue(valueOf("a").contains("\"boot_ms\":1"), "drain must keep the other fields");
        assertTrue(run(config, "show").contains("a DRAINING 127.0.0.1:5432 group=1"));
        assertEquals("0: a is deleted\n", run(config, "delete", "a"));
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void putChangesNothingIfTheExpectedRevisionIsOld(Kind kind) throws Exception {
        RegistryConfig config = configOf(kind);
        run(config, "put-host", hostJson("a", 1));
        run(config, "drain", "a");
        long olderRevision = model.revision - 1;

        assertEquals("1: ", run(config, "put-host", "--if-revision", "" + olderRevision, hostJson("a", 2)));

        assertTrue(valueOf("a").contains("\"boot_ms\":1"));
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void commandFailsIfTheHostIsMissingOrNotValid(Kind kind) {
        RegistryConfig config = configOf(kind);

        assertThrows(ConfigException.class, () -> run(config, "drain", "a"));
        assertThrows(IllegalArgumentException.class, () -> run(config, "put-host", "{}"));
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void changeFailsIfTheEntryWasChangedAfterItWasRead(Kind kind) throws Exception {
        try (RegistryEditor editor = RegistryClient.editor(configOf(kind))) {
            assertTrue(editor.put(hostKey("a"), hostJson("a", 1).getBytes(StandardCharsets.UTF_8), 0));
            long readRevision = editor.get(hostKey("a")).modRevision();
            model.put(hostKey("a"), hostJson("a", 2));

            assertFalse(editor.put(hostKey("a"), hostJson("a", 3).getBytes(StandardCharsets.UTF_8), readRevision));
            assertFalse(editor.delete(hostKey("a"), readRevision));

            assertEquals(hostJson("a", 2), new String(editor.get(hostKey("a")).value(), StandardCharsets.UTF_8));
            assertTrue(editor.delete(hostKey("a"), editor.get(hostKey("a")).modRevision()));
            assertNull(editor.get(hostKey("a")));
        }
    }
}
