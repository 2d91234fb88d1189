package mintstair.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeConfigTest {
    private static final String SETTINGS = "{\"classes\":[{\"name\":\"any\",\"deadlineS\":5,\"sloS\":1}],"
            + "\"familyInfo\":{\"consistency\":[\"any\"]},\"limits\":{\"maxAttempts\":3}}";
    private static final String CONFIG = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:5433\",\"discovery\":\"127.0.0.1:9\","
            + "\"control\":\"127.0.0.1:9901\",\"seed\":\"ffffffffffffffff\",\"limits\":{\"sockets\":256},"
            + "\"known\":{\"rev\":3,\"targets\":[]},\"settings\":" + SETTINGS + "}";

    @TempDir
    Path folder;

    private Path file;

    @BeforeEach
    void resolveFile() {
        file = folder.resolve("node.json");
    }

    private NodeConfig read(String json) throws IOException {
        return NodeConfig.read(Files.writeString(file, json));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void readReturnsAllValuesOfTheFile() throws IOException {
        NodeConfig config = read(CONFIG);

        assertEquals("n1", config.name());
        assertEquals(5433, config.listen().getPort());
        assertEquals(9, config.discovery().getPort());
        assertEquals(9901, config.control().getPort());
        assertEquals(-1, config.seed());
        assertEquals(256, config.maxDescriptors());
        assertEquals(3, config.initialEndpoints().revision());
    }

    @Test
    void missingOptionalKeysHaveDefaults() throws IOException {
        NodeConfig config = read("{\"name\":\"n1\",\"listen\":\"127.0.0.1:5433\",\"discovery\":\"127.0.0.1:9\","
                + "\"settings\":" + SETTINGS + "}");

        assertEquals(0, config.seed());
        assertEquals(1024, config.maxDescriptors());
        assertNull(config.initialEndpoints());
    }

    /** The message is one line that begins with the file; the exception has the path of the value as well. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "\"name\":\"n1\" | \"other\":1 | name is missing or not a string | name",
                "\"settings\" | \"other\" | settings is missing or not an object | settings",
                "\"deadlineS\":5 | \"deadlineS\":0 | deadlineS must be a number above 0 | settings.classes.deadlineS",
                "\"name\":\"any\", | '' | name is missing or not a string | settings.classes.name",
                "\"maxAttempts\":3 | \"maxAttempts\":\"3\" | maxAttempts must be a number above 0"
                        + " | settings.limits.maxAttempts",
                "[\"any\"] | [] | familyInfo.consistency must have one element for each class"
                        + " | settings.familyInfo.consistency"
            })
    void invalidValueIsReportedWithItsPath(String text, String replacement, String message, String jsonPath) {
        ConfigException error = assertThrows(ConfigException.class, () -> read(CONFIG.replace(text, replacement)));

        assertEquals(file + ": " + message, error.getMessage());
        assertEquals(file, error.file().orElseThrow());
        assertEquals(jsonPath, error.jsonPath().orElseThrow());
    }

    @Test
    void missingFileIsReported() {
        ConfigException error = assertThrows(ConfigException.class, () -> NodeConfig.read(file));

        assertEquals(file + ": no such file", error.getMessage());
    }

    @Test
    void invalidListOfInitialEndpointsIsReported() {
        ConfigException error =
                assertThrows(ConfigException.class, () -> read(CONFIG.replace("\"rev\":3", "\"rev\":\"3\"")));

        assertEquals(file + ": endpoint list must have rev (a number) and targets (a list)", error.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "\"control\":\"127.0.0.1:9901\", | '' | control is missing",
                "\"limits\":{\"sockets\":256}, | \"limits\":1, | limits is not an object",
                "\"maxAttempts\":3 | \"maxAttempts\":3,\"cancelling\":true | '' ",
                ",\"sloS\":1 | '' | a class lacks sloS, which all classes had before"
            })
    void reloadedFileMustHaveAllKeysOfThePreviousOne(String text, String replacement, String message)
            throws IOException {
        NodeConfig before = read(CONFIG);
        Files.writeString(file, CONFIG.replace(text, replacement));

        if (message.isEmpty()) {
            assertEquals("n1", NodeConfig.reload(file, before).name());
        } else {
            ConfigException error = assertThrows(ConfigException.class, () -> NodeConfig.reload(file, before));
            assertEquals(file + ": " + message, error.getMessage());
        }
    }

    @Test
    void initialEndpointsMayBeMissingFromReloadedFile() throws IOException {
        NodeConfig before = read(CONFIG);
        Files.writeString(file, CONFIG.replace("\"known\":{\"rev\":3,\"targets\":[]},", ""));

        assertNull(NodeConfig.reload(file, before).initialEndpoints());
    }

    @Test
    void withSettingsReplacesTheCurrentSettings() throws IOException {
        NodeConfig changed = read(CONFIG).withSettings(bytes(SETTINGS.replace(":5,", ":7,")), "here");

        assertEquals(7_000_000, changed.settings().longestDeadlineMicros());
        assertEquals("n1", changed.name());
    }

    @Test
    void invalidSettingsAreReportedWithTheirSource() throws IOException {
        NodeConfig config = read(CONFIG);

        ConfigException error =
                assertThrows(ConfigException.class, () -> config.withSettings(bytes("{}"), "revision 3"));

        assertEquals("revision 3: classes is missing or empty", error.getMessage());
        assertEquals("settings.classes", error.jsonPath().orElseThrow());
    }
}
