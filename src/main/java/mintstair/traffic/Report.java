package mintstair.traffic;

import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** A comparison as one page: a table by class, charts, the first divergences. Nothing in it is fetched from elsewhere. */
final class Report {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 380;

    private Report() {}

    static void write(Path file, String title, Comparison comparison) throws IOException {
        System.setProperty("java.awt.headless", "true");
        List<Comparison.Row> rows = comparison.rows();
        Map<String, Object> model = Map.of(
                "title",
                title,
                "pairs",
                comparison.pairs(),
                "rows",
                rows,
                "percentiles",
                Arrays.stream(Comparison.PERCENTILES).boxed().toList(),
                "charts",
                List.of(answers(rows), latencies(rows)),
                "divergences",
                comparison.firstOfEachKind());
        Configuration configuration = new Configuration(Configuration.VERSION_2_3_32);
        configuration.setClassForTemplateLoading(Report.class, "/mintstair/traffic");
        configuration.setDefaultEncoding("UTF-8");
        configuration.setLocale(Locale.ROOT);
        configuration.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
        try (Writer out = Files.newBufferedWriter(file)) {
            configuration.getTemplate("report.ftlh").process(model, out);
        } catch (TemplateException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static String answers(List<Comparison.Row> rows) throws IOException {
        CategoryChart chart = chart("requests by class", "requests", rows);
        List<String> names = names(rows);
        chart.addSeries("same", names, rows.stream().map(Comparison.Row::same).toList());
        chart.addSeries(
                "other answer", names, rows.stream().map(Comparison.Row::answer).toList());
        chart.addSeries(
                "other value", names, rows.stream().map(Comparison.Row::value).toList());
        chart.addSeries(
                "only in one",
                names,
                rows.stream().map(r -> r.onlyFirst() + r.onlySecond()).toList());
        return png(chart);
    }

    private static String latencies(List<Comparison.Row> rows) throws IOException {
        CategoryChart chart = chart("latency of served requests at p99", "ms", rows);
        int p99 = 2;
        chart.addSeries(
                "first", names(rows), rows.stream().map(r -> r.first().get(p99)).toList());
        chart.addSeries(
                "second",
                names(rows),
                rows.stream().map(r -> r.second().get(p99)).toList());
        return png(chart);
    }

    private static CategoryChart chart(String title, String unit, List<Comparison.Row> rows) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("class")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setAvailableSpaceFill(rows.size() > 2 ? 0.8 : 0.3);
        return chart;
    }

    /** A chart needs a category. */
    private static List<String> names(List<Comparison.Row> rows) {
        return rows.stream().map(Comparison.Row::name).toList();
    }

    private static String png(CategoryChart chart) throws IOException {
        return Base64.getEncoder().encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }
}
