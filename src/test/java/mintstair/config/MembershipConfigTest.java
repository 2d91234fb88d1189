package mintstair.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipConfigTest {
    @TempDir
    Path folder;

    private OperatorConfig read(String membership) throws IOException {
        return OperatorConfig.read(
                Files.writeString(folder.resolve("operator.json"), "{\"membership\":" + membership + "}"));
    }

    @Test
    void exampleFileIsRead() {
        MembershipConfig example =
                OperatorConfig.read(Path.of("deploy/membership.json")).membership();

        assertEquals("saskatoon-main", example.fleet());
        assertEquals(7946, example.listen().getPort());
        assertEquals(3, example.seeds().size());
        assertEquals(400_000, example.periodMicros());
        assertNull(example.advertise());
    }

    @Test
    void membershipIsDisabledWithoutOperatorFile() {
        assertNull(OperatorConfig.NONE.membership());
    }

    /** The message is one line that names the faulty key. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "{\"seeds\":[],\"listen\":\"127.0.0.1:1\"} | membership.fleet | fleet is missing",
                "{\"fleet\":\"f\",\"seeds\":[]} | membership.listen | listen is missing",
                "{\"fleet\":\"f\",\"listen\":\"127.0.0.1:1\"} | membership.seeds | seeds must be a list",
                "{\"fleet\":\"f\",\"seeds\":[],\"listen\":\"0.0.0.0:1\"} | membership.advertise"
                        + " | advertise is required",
                "{\"fleet\":\"f\",\"period_s\":0,\"seeds\":[],\"listen\":\"127.0.0.1:1\"} | membership.period_s"
                        + " | period_s must be from 0.05 to 60",
                "{\"fleet\":\"f\",\"period\":1,\"seeds\":[],\"listen\":\"127.0.0.1:1\"} | membership.period"
                        + " | unknown setting period"
            })
    void invalidSettingIsReportedWithItsPath(String membership, String jsonPath, String message) {
        ConfigException error = assertThrows(ConfigException.class, () -> read(membership));

        assertTrue(error.getMessage().contains(message), error.getMessage());
        assertEquals(1, error.getMessage().lines().count());
        assertEquals(jsonPath, error.jsonPath().orElseThrow());
        assertEquals(folder.resolve("operator.json"), error.file().orElseThrow());
    }

    @Test
    void seedThatIsNotAnAddressIsReported() {
        String membership = "{\"fleet\":\"f\",\"seeds\":[\"here\"],\"listen\":\"127.0.0.1:1\"}";

        ConfigException error = assertThrows(ConfigException.class, () -> read(membership));

        assertTrue(error.getMessage().endsWith("expected HOST:PORT, found here"), error.getMessage());
        assertEquals(1, error.getMessage().lines().count());
    }
}
