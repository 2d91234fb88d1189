package mintstair.traffic;

import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Writes a comparison as one page of HTML: a table by class, charts, the first divergences. It loads nothing else.
 */
final class HtmlReport {
    private static final String TEMPLATE_FOLDER = "/mintstair/traffic";
    private static final String TEMPLATE = "report.ftlh";
    private static final int CHART_WIDTH = 900;
    private static final int CHART_HEIGHT = 380;
    /** Share of the space that bars take; with few classes they would be very wide. */
    private static final double BAR_SPACE = 0.8;

    private static final double BAR_SPACE_OF_FEW = 0.3;
    private static final int FEW_CLASSES = 2;

    private HtmlReport() {}

    /**
     * Writes the page.
     *
     * @throws IOException where the file can't be written
     */
    static void write(Path file, String title, Comparison comparison) throws IOException {
        System.setProperty("java.awt.headless", "true");
        List<Comparison.Row> rows = comparison.rows();
        Map<String, Object> model = Map.of(
                "title", title,
                "pairs", comparison.pairs(),
                "rows", rows,
                "percentiles", Comparison.percentiles(),
                "charts", List.of(resultsChart(rows), latencyChart(rows)),
                "divergences", comparison.firstOfEachKind());
        try (Writer out = Files.newBufferedWriter(file)) {
            configuration().getTemplate(TEMPLATE).process(model, out);
        } catch (TemplateException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static Configuration configuration() {
        Configuration configuration = new Configuration(Configuration.VERSION_2_3_32);
        configuration.setClassForTemplateLoading(HtmlReport.class, TEMPLATE_FOLDER);
        configuration.setDefaultEncoding("UTF-8");
        configuration.setLocale(Locale.ROOT);
        configuration.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
        return configuration;
    }

    private static String resultsChart(List<Comparison.Row> rows) throws IOException {
        CategoryChart chart = newChart("requests by class", "requests", rows);
        List<String> names = names(rows);
        chart.addSeries("same", names, rows.stream().map(Comparison.Row::same).toList());
        chart.addSeries(
                "other answer", names, rows.stream().map(Comparison.Row::answer).toList());
        chart.addSeries(
                "other value", names, rows.stream().map(Comparison.Row::value).toList());
        chart.addSeries(
                "only in one",
                names,
                rows.stream().map(row -> row.onlyFirst() + row.onlySecond()).toList());
        return base64Png(chart);
    }

    private static String latencyChart(List<Comparison.Row> rows) throws IOException {
        CategoryChart chart = newChart("latency of served requests at p99", "ms", rows);
        List<String> names = names(rows);
        chart.addSeries(
                "first",
                names,
                rows.stream().map(row -> row.first().get(Comparison.P99)).toList());
        chart.addSeries(
                "second",
                names,
                rows.stream().map(row -> row.second().get(Comparison.P99)).toList());
        return base64Png(chart);
    }

    private static CategoryChart newChart(String title, String unit, List<Comparison.Row> rows) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(CHART_WIDTH)
                .height(CHART_HEIGHT)
                .title(title)
                .xAxisTitle("class")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setAvailableSpaceFill(rows.size() > FEW_CLASSES ? BAR_SPACE : BAR_SPACE_OF_FEW);
        return chart;
    }

    private static List<String> names(List<Comparison.Row> rows) {
        return rows.stream().map(Comparison.Row::name).toList();
    }

    private static String base64Png(CategoryChart chart) throws IOException {
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        return Base64.getEncoder().encodeToString(png);
    }
}
