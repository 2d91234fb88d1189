package mintstair.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MembershipConfigTest {
    @TempDir
    Path folder;

    private OperatorConfig read(String membership) throws IOException {
        return OperatorConfig.read(
                Files.writeString(folder.resolve("operator.json"), "{\"membership\":" + membership + "}"));
    }

    @Test
    void theExampleIsWholeAndNothingIsOnWithoutIt() {
        MembershipConfig example =
                OperatorConfig.read(Path.of("deploy/membership.json")).membership();
        assertEquals("saskatoon-main", example.fleet());
        assertEquals(7946, example.listen().getPort());
        assertEquals(3, example.seeds().size());
        assertEquals(400_000, example.period());
        assertNull(example.advertise());
        assertNull(OperatorConfig.NONE.membership());
    }

    /** What is wrong is named, in one line. */
    @Test
    void whatCannotBeUsedIsNamed() throws IOException {
        String rest = "\"seeds\":[],\"listen\":\"127.0.0.1:1\"";
        for (Map.Entry<String, String> bad : List.of(
                Map.entry("{" + rest + "}", "fleet is missing"),
                Map.entry("{\"fleet\":\"f\",\"seeds\":[]}", "listen is missing"),
                Map.entry("{\"fleet\":\"f\",\"listen\":\"127.0.0.1:1\"}", "seeds is a list"),
                Map.entry(
                        "{\"fleet\":\"f\",\"seeds\":[\"here\"],\"listen\":\"127.0.0.1:1\"}",
                        "no address and port: here"),
                Map.entry("{\"fleet\":\"f\",\"seeds\":[],\"listen\":\"0.0.0.0:1\"}", "advertise is needed"),
                Map.entry("{\"fleet\":\"f\",\"period_s\":0," + rest + "}", "period_s must be from 0.05 to 60"),
                Map.entry("{\"fleet\":\"f\",\"period\":1," + rest + "}", "unknown setting period"))) {
            String told = assertThrows(ConfigException.class, () -> read(bad.getKey()))
                    .getMessage();
            assertTrue(told.contains(bad.getValue()) && told.lines().count() == 1, told);
        }
    }
}
