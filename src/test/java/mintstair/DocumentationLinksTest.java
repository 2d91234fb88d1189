package mintstair;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The links between the pages, and from the pages to the code, lead somewhere. */
class DocumentationLinksTest {
    private static final Pattern LINK = Pattern.compile("\\]\\(([^)#\\s]+)(#[^)]*)?\\)");
    private static final Path DOCS = Path.of("docs");
    private static final int MIN_LINKS_OF_ARCHITECTURE = 30;

    @Test
    void everyRelativeLinkOfAPageHasItsTarget() throws IOException {
        List<String> broken = new ArrayList<>();
        for (Path page : pages()) {
            for (String link : relativeLinks(page)) {
                if (!Files.exists(directoryOf(page).resolve(link))) {
                    broken.add(page + ": " + link);
                }
            }
        }
        assertEquals(List.of(), broken);
    }

    /** Guards against a pattern that finds no links, with which the test above would pass on anything. */
    @Test
    void architecturePageAnswersByLinks() throws IOException {
        List<String> links = relativeLinks(DOCS.resolve("architecture.md"));
        assertTrue(links.size() >= MIN_LINKS_OF_ARCHITECTURE, "links found: " + links);
    }

    private static Path directoryOf(Path page) {
        return page.getParent() == null ? Path.of("") : page.getParent();
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages =
                new ArrayList<>(List.of(Path.of("README.md"), Path.of("CONTRIBUTING.md"), Path.of("CHANGELOG.md")));
        try (Stream<Path> found = Files.walk(DOCS)) {
            found.filter(path -> path.toString().endsWith(".md")).sorted().forEach(pages::add);
        }
        return pages;
    }

    private static List<String> relativeLinks(Path page) throws IOException {
        return LINK.matcher(Files.readString(page))
                .results()
                .map((MatchResult match) -> match.group(1))
                .filter(link -> !link.contains("://"))
                .toList();
    }
}
