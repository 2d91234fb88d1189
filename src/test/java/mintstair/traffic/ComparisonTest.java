package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mintstair.traffic.Comparison.Divergence;
import mintstair.traffic.RecordedExchange.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two recordings beside each other, and their report. */
class ComparisonTest {
    private static RecordedExchange keyed(long requestMillis, String key, Result result) {
        return ExchangeBuilder.keyed(requestMillis, key, result).query("any").build();
    }

    @Test
    void namesTheFirstDivergenceOfEachKind() {
        List<RecordedExchange> first =
                List.of(keyed(1, "a1", Result.SERVED), keyed(2, "a2", Result.SERVED), keyed(3, "a3", Result.SERVED));
        List<RecordedExchange> second =
                List.of(keyed(1, "a1", Result.SERVED), keyed(2, "a2", Result.REFUSED), keyed(3, "b9", Result.SERVED));

        Comparison comparison = Comparison.of(first, second);

        assertEquals(2, comparison.pairs());
        assertEquals(1, comparison.count(Divergence.ANSWER));
        assertEquals(1, comparison.count(Divergence.ONLY_FIRST));
        assertEquals(1, comparison.count(Divergence.ONLY_SECOND));
        String text = comparison.toString();
        assertTrue(text.contains("first by answer: any old2 served ") && text.contains(" / any old2 refused"), text);
    }

    @Test
    void reportIsAPageWithATableAndCharts(@TempDir Path folder) throws Exception {
        Comparison comparison =
                Comparison.of(List.of(keyed(1, "a<1", Result.SERVED)), List.of(keyed(1, "a<1", Result.REFUSED)));
        Path file = folder.resolve("report.html");

        HtmlReport.write(file, "before & after", comparison);

        String page = Files.readString(file);
        assertTrue(page.contains("<title>before &amp; after</title>"), page.substring(0, 300));
        assertTrue(page.contains("<td>any</td>"), page.substring(0, 300));
        assertEquals(2, page.split("data:image/png;base64,iVBOR", -1).length - 1, "two charts");
        assertTrue(page.contains("answer: any old1 served "), "the first divergence");
    }
}
