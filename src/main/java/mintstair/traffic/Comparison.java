package mintstair.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares the requests of two recordings by class: results, values, latencies, and the first divergence of each
 * kind. Without I/O; not safe for use by several threads.
 */
public final class Comparison {
    /** How the two exchanges of one request differ. Operators see these names in lower case. */
    public enum Divergence {
        /** The results differ. */
        ANSWER,
        /** Both were served, with other values. */
        VALUE,
        /** The request classes differ. */
        CLASS,
        /** The second recording lacks the request. */
        ONLY_FIRST,
        /** The first recording lacks the request. */
        ONLY_SECOND
    }

    /** The percentiles at which latencies are compared. */
    private static final List<Double> PERCENTILES = List.of(50.0, 90.0, 99.0, 99.9);

    private static final int P50 = PERCENTILES.indexOf(50.0);

    /** Index of the 99th percentile in a row's latencies. */
    static final int P99 = PERCENTILES.indexOf(99.0);

    /** What is counted of one request class. */
    private static final class ClassComparison {
        final ServedLatency first = new ServedLatency();
        final ServedLatency second = new ServedLatency();
        final Map<Divergence, Long> divergences = new EnumMap<>(Divergence.class);
        long same;

        long count(Divergence kind) {
            return divergences.getOrDefault(kind, 0L);
        }
    }

    /**
     * One class of a report.
     *
     * @param name the class
     * @param same requests that do not diverge
     * @param answer requests with other results
     * @param value requests with other values
     * @param first latencies of the first recording in milliseconds, at {@link #percentiles}
     * @param second latencies of the second recording in milliseconds, at {@link #percentiles}
     */
    public record Row(
            String name,
            long same,
            long answer,
            long value,
            long onlyFirst,
            long onlySecond,
            List<Double> first,
            List<Double> second) {}

    private final Map<String, ClassComparison> classes = new TreeMap<>();
    private final Map<Divergence, String> firstOfKind = new EnumMap<>(Divergence.class);
    private final Map<Divergence, Long> counts = new EnumMap<>(Divergence.class);
    private long pairs;

    /** Compares two recordings; requests are matched by what they are and by their order among equal ones. */
    public static Comparison of(List<RecordedExchange> first, List<RecordedExchange> second) {
        Map<String, Deque<RecordedExchange>> unmatched = new HashMap<>();
        for (RecordedExchange exchange : second) {
            unmatched
                    .computeIfAbsent(matchKey(exchange), absent -> new ArrayDeque<>())
                    .add(exchange);
        }
        Comparison comparison = new Comparison();
        for (RecordedExchange exchange : first) {
            Deque<RecordedExchange> candidates = unmatched.get(matchKey(exchange));
            comparison.add(exchange, candidates == null ? null : candidates.poll());
        }
        unmatched.values().forEach(rest -> rest.forEach(exchange -> comparison.add(null, exchange)));
        return comparison;
    }

    /** Equal for requests that are alike; of those the order counts. */
    private static String matchKey(RecordedExchange exchange) {
        return exchange.requestClass()
                + ' '
                + exchange.replicaSet()
                + ' '
                + exchange.session()
                + ' '
                + exchange.write()
                + ' '
                + exchange.timeoutMillis()
                + ' '
                + exchange.retry();
    }

    /** Adds the exchanges of one request; one of them may be null where a recording lacks it. */
    public void add(RecordedExchange first, RecordedExchange second) {
        RecordedExchange either = first == null ? second : first;
        ClassComparison byClass = classes.computeIfAbsent(either.requestClass(), absent -> new ClassComparison());
        if (first != null) {
            byClass.first.add(first);
        }
        if (second != null) {
            byClass.second.add(second);
        }
        if (first != null && second != null) {
            pairs++;
        }
        Divergence divergence = divergenceOf(first, second);
        if (divergence == null) {
            byClass.same++;
            return;
        }
        byClass.divergences.merge(divergence, 1L, Long::sum);
        counts.merge(divergence, 1L, Long::sum);
        firstOfKind.computeIfAbsent(divergence, absent -> describe(first) + " / " + describe(second));
    }

    private static Divergence divergenceOf(RecordedExchange first, RecordedExchange second) {
        if (first == null) {
            return Divergence.ONLY_SECOND;
        }
        if (second == null) {
            return Divergence.ONLY_FIRST;
        }
        if (!first.requestClass().equals(second.requestClass())) {
            return Divergence.CLASS;
        }
        if (first.result() != second.result()) {
            return Divergence.ANSWER;
        }
        return first.digest() == second.digest() ? null : Divergence.VALUE;
    }

    private static String describe(RecordedExchange exchange) {
        if (exchange == null) {
            return "nothing";
        }
        String digest = exchange.digest() == 0 ? "" : " " + Long.toHexString(exchange.digest());
        String result = exchange.result().name().toLowerCase(Locale.ROOT);
        return exchange.requestClass() + " " + exchange.id() + " " + result + digest;
    }

    /** How many requests both recordings have. */
    public long pairs() {
        return pairs;
    }

    /** How many requests diverge in this way. */
    public long count(Divergence kind) {
        return counts.getOrDefault(kind, 0L);
    }

    /** Whether no request diverges. */
    public boolean isSame() {
        return counts.isEmpty();
    }

    /** The percentiles that a row's latencies are given at. */
    public static List<Double> percentiles() {
        return PERCENTILES;
    }

    /** A row for each class, in the order of their names. */
    public List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        classes.forEach((name, byClass) -> rows.add(new Row(
                ClassLabels.of(name),
                byClass.same,
                byClass.count(Divergence.ANSWER),
                byClass.count(Divergence.VALUE),
                byClass.count(Divergence.ONLY_FIRST),
                byClass.count(Divergence.ONLY_SECOND),
                latencies(byClass.first),
                latencies(byClass.second))));
        return rows;
    }

    private static List<Double> latencies(ServedLatency latency) {
        return PERCENTILES.stream().map(latency::percentileMillis).toList();
    }

    /** The first divergence of each kind, described. */
    public List<String> firstOfEachKind() {
        List<String> described = new ArrayList<>();
        firstOfKind.forEach((kind, text) ->
                described.add(kind.name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + text));
        return described;
    }

    /** A table by class, then the first divergence of each kind. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%-20s %9s %9s %9s %9s %9s %23s %23s%n",
                "class",
                "same",
                "answer",
                "value",
                "only 1st",
                "only 2nd",
                "p50/p99 ms of the first",
                "p50/p99 ms of the second"));
        rows().forEach(row -> text.append(tableLine(row)));
        firstOfEachKind()
                .forEach(described -> text.append("first by ").append(described).append(System.lineSeparator()));
        return text.toString();
    }

    private static String tableLine(Row row) {
        return String.format(
                Locale.ROOT,
                "%-20s %9d %9d %9d %9d %9d %14.2f /%7.2f %14.2f /%7.2f%n",
                row.name,
                row.same,
                row.answer,
                row.value,
                row.onlyFirst,
                row.onlySecond,
                row.first.get(P50),
                row.first.get(P99),
                row.second.get(P50),
                row.second.get(P99));
    }
}
