package mintstair.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Requests of two recordings beside each other, by class: final answers, values, latencies, and the first divergence of each kind.
 * Without I/O.
 */
public final class Comparison {
    /** How two exchanges of one request differ. */
    public enum Divergence {
        ANSWER,
        VALUE,
        CLASS,
        ONLY_FIRST,
        ONLY_SECOND
    }

    /** One class's figures; latencies of served requests in microseconds. */
    private static final class OfClass {
        final Histogram first = new Histogram(LONGEST, 2);
        final Histogram second = new Histogram(LONGEST, 2);
        final Map<Divergence, Long> divergences = new EnumMap<>(Divergence.class);
        long same;
    }

    private static final long LONGEST = TimeUnit.MINUTES.toMicros(10);
    private final Map<String, OfClass> classes = new TreeMap<>();
    private final Map<Divergence, String> firstOfKind = new EnumMap<>(Divergence.class);
    private final Map<Divergence, Long> counts = new EnumMap<>(Divergence.class);
    private long pairs;

    /** Matches by what a request is (class, group, session, write or read, deadline, retry mark) and which of its like it is. */
    public static Comparison of(List<RecordedExchange> first, List<RecordedExchange> second) {
        Comparison c = new Comparison();
        Map<String, Deque<RecordedExchange>> open = new HashMap<>();
        for (RecordedExchange e : second) {
            open.computeIfAbsent(likeness(e), k -> new ArrayDeque<>()).add(e);
        }
        for (RecordedExchange e : first) {
            Deque<RecordedExchange> like = open.get(likeness(e));
            c.add(e, like == null ? null : like.poll());
        }
        open.values().forEach(rest -> rest.forEach(e -> c.add(null, e)));
        return c;
    }

    private static String likeness(RecordedExchange e) {
        return e.requestClass()
                + ' '
                + e.cluster()
                + ' '
                + e.session()
                + ' '
                + e.write()
                + ' '
                + e.deadlineMillis()
                + ' '
                + e.retry();
    }

    /** Adds one request's exchanges; one of them may be null where a recording lacks it. */
    public void add(RecordedExchange first, RecordedExchange second) {
        RecordedExchange any = first == null ? second : first;
        OfClass of = classes.computeIfAbsent(any.requestClass(), n -> new OfClass());
        latency(of.first, first);
        latency(of.second, second);
        Divergence d = first == null
                ? Divergence.ONLY_SECOND
                : second == null
                        ? Divergence.ONLY_FIRST
                        : !first.requestClass().equals(second.requestClass())
                                ? Divergence.CLASS
                                : first.result() != second.result()
                                        ? Divergence.ANSWER
                                        : first.digest() != second.digest() ? Divergence.VALUE : null;
        pairs += first != null && second != null ? 1 : 0;
        if (d == null) {
            of.same++;
            return;
        }
        of.divergences.merge(d, 1L, Long::sum);
        counts.merge(d, 1L, Long::sum);
        firstOfKind.computeIfAbsent(d, k -> words(first) + " / " + words(second));
    }

    private static void latency(Histogram to, RecordedExchange e) {
        if (e != null && e.result() == RecordedExchange.Result.SERVED) {
            to.recordValue(Math.max(0, Math.min(LONGEST, (e.answered() - e.asked()) / 1000)));
        }
    }

    private static String words(RecordedExchange e) {
        return e == null
                ? "nothing"
                : e.requestClass() + " " + e.id() + " " + e.result().name().toLowerCase(Locale.ROOT)
                        + (e.digest() == 0 ? "" : " " + Long.toHexString(e.digest()));
    }

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

    /** One class's figures for a report; latencies in milliseconds at {@link #PERCENTILES}. */
    public record Row(
            String name,
            long same,
            long answer,
            long value,
            long onlyFirst,
            long onlySecond,
            List<Double> first,
            List<Double> second) {}

    /** Where latencies are told. */
    public static final double[] PERCENTILES = {50, 90, 99, 99.9};

    /** A row for each class. */
    public List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        classes.forEach((name, c) -> rows.add(new Row(
                name.isEmpty() ? "(none)" : name,
                c.same,
                of(c, Divergence.ANSWER),
                of(c, Divergence.VALUE),
                of(c, Divergence.ONLY_FIRST),
                of(c, Divergence.ONLY_SECOND),
                latencies(c.first),
                latencies(c.second))));
        return rows;
    }

    private static List<Double> latencies(Histogram h) {
        return Arrays.stream(PERCENTILES)
                .mapToObj(p -> h.getValueAtPercentile(p) / 1e3)
                .toList();
    }

    /** The first divergence of each kind, in words. */
    public List<String> firstOfEachKind() {
        List<String> words = new ArrayList<>();
        firstOfKind.forEach(
                (kind, text) -> words.add(kind.name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + text));
        return words;
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
        classes.forEach((name, c) -> text.append(String.format(
                Locale.ROOT,
                "%-20s %9d %9d %9d %9d %9d %14.2f /%7.2f %14.2f /%7.2f%n",
                name.isEmpty() ? "(none)" : name,
                c.same,
                of(c, Divergence.ANSWER),
                of(c, Divergence.VALUE),
                of(c, Divergence.ONLY_FIRST),
                of(c, Divergence.ONLY_SECOND),
                c.first.getValueAtPercentile(50) / 1e3,
                c.first.getValueAtPercentile(99) / 1e3,
                c.second.getValueAtPercentile(50) / 1e3,
                c.second.getValueAtPercentile(99) / 1e3)));
        firstOfEachKind()
                .forEach(words -> text.append("first by ").append(words).append(System.lineSeparator()));
        return text.toString();
    }

    private static long of(OfClass c, Divergence kind) {
        return c.divergences.getOrDefault(kind, 0L);
    }
}
