package mintstair.serve;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.program.Program;

/**
 * Provides settings for services that tests start in their own process: those of the program tests, without health
 * checks.
 */
final class TestSettings {
    private TestSettings() {}

    static InstanceSettings defaults() {
        return with();
    }

    /** Returns the settings with some texts replaced; each text is followed by its replacement. */
    static InstanceSettings with(String... replacements) {
        String text = Program.SETTINGS.replace("PROBING", "false");
        for (int i = 0; i < replacements.length; i += 2) {
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        try {
            return new InstanceSettings((Map<?, ?>) Json.read(text.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
