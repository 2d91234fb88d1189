package mintstair.pins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Names that others read, one a line in a resource; lines that begin with # tell what they are. */
final class Names {
    private Names() {}

    static List<String> expected(String resource) throws IOException {
        return text(resource)
                .lines()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .toList();
    }

    static String text(String resource) throws IOException {
        try (InputStream in = Names.class.getResourceAsStream(resource)) {
            assertNotNull(in, "no resource " + resource);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Fails with the names that are missing and those that are new, one a line. */
    static void assertSame(String resource, Collection<String> actual) throws IOException {
        assertEquals("", difference(new TreeSet<>(expected(resource)), new TreeSet<>(actual)), resource);
    }

    private static String difference(Set<String> expected, Set<String> actual) {
        StringBuilder text = new StringBuilder();
        expected.stream()
                .filter(name -> !actual.contains(name))
                .forEach(name -> text.append("missing: ").append(name).append('\n'));
        actual.stream()
                .filter(name -> !expected.contains(name))
                .forEach(name -> text.append("new: ").append(name).append('\n'));
        return text.toString();
    }
}
