package mintstair;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The core knows no wire, and network code none of the module's events and actions. */
class LayeringTest {
    private static final Path SOURCES = Path.of("src/main/java/mintstair");

    private static List<String> lines(String folder, String... forbidden) throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES.resolve(folder))) {
            List<Path> sources = files.filter(f -> f.toString().endsWith(".java")).toList();
            assertTrue(!sources.isEmpty(), folder);
            return sources.stream().flatMap(f -> read(f).stream().filter(line -> Stream.of(forbidden)
                .anyMatch(line::contains)).map(line -> f + ": " + line)).toList();
        }
    }

    private static List<String> read(Path file) {
        try {
            return Files.readAllLines(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void coreKnowsNoWire() throws IOException {
        for (String core : List.of("decision", "request", "routing", "proxy")) {
            assertEquals(List.of(), lines(core, "grizzly", "org.bson", "mintstair.wire", "mintstair.front",
                "mintstair.backend", "java.net.", "java.nio.channels"));
        }
    }

    @Test
    void networkCodeNeverSeesTheModule() throws IOException {
        for (String network : List.of("front", "backend", "discovery", "wire", "serve", "proxy")) {
            assertEquals(List.of(), lines(network, "mintstair.decision"));
        }
    }
}
