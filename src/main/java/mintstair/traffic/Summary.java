package mintstair.traffic;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** What a recording holds, by class: how many requests, what came of them, how long served ones took. Bounded in its classes. */
public final class Summary {
    private static final int MOST_CLASSES = 200;
    private static final String OTHERS = "(others)";
    private static final long LONGEST = TimeUnit.MINUTES.toMicros(10);

    /** One class's figures; latencies in microseconds. */
    private static final class OfClass {
        final Map<RecordedExchange.Result, Long> results = new EnumMap<>(RecordedExchange.Result.class);
        final Histogram latency = new Histogram(LONGEST, 2);
        long retries;
    }

    private final Map<String, OfClass> classes = new TreeMap<>();
    private long first = Long.MAX_VALUE;
    private long last = Long.MIN_VALUE;
    private long count;

    /** Counts an exchange. */
    public void add(RecordedExchange e) {
        String name =
                classes.containsKey(e.requestClass()) || classes.size() < MOST_CLASSES ? e.requestClass() : OTHERS;
        OfClass of = classes.computeIfAbsent(name, n -> new OfClass());
        of.results.merge(e.result(), 1L, Long::sum);
        of.retries += e.retry() ? 1 : 0;
        if (e.result() == RecordedExchange.Result.SERVED) {
            of.latency.recordValue(Math.max(0, Math.min(LONGEST, (e.answered() - e.asked()) / 1000)));
        }
        first = Math.min(first, e.asked());
        last = Math.max(last, e.asked());
        count++;
    }

    public long count() {
        return count;
    }

    /** From the first request to the last, by the recording's own clock, in seconds. */
    public double seconds() {
        return count == 0 ? 0 : (last - first) / 1e9;
    }

    /** A line for each class. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%-20s %9s %9s %9s %9s %9s %9s %9s %9s %9s%n",
                "class",
                "requests",
                "served",
                "refused",
                "failed",
                "none",
                "retries",
                "p50 ms",
                "p99 ms",
                "most ms"));
        classes.forEach((name, c) -> text.append(String.format(
                Locale.ROOT,
                "%-20s %9d %9d %9d %9d %9d %9d %9.2f %9.2f %9.2f%n",
                name.isEmpty() ? "(none)" : name,
                c.results.values().stream().mapToLong(n -> n).sum(),
                of(c, RecordedExchange.Result.SERVED),
                of(c, RecordedExchange.Result.REFUSED),
                of(c, RecordedExchange.Result.FAILED),
                of(c, RecordedExchange.Result.NONE),
                c.retries,
                c.latency.getValueAtPercentile(50) / 1e3,
                c.latency.getValueAtPercentile(99) / 1e3,
                c.latency.getMaxValue() / 1e3)));
        return text.toString();
    }

    private static long of(OfClass c, RecordedExchange.Result result) {
        return c.results.getOrDefault(result, 0L);
    }
}
