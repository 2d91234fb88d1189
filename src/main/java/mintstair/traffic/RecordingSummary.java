package mintstair.traffic;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import mintstair.traffic.RecordedExchange.Result;

/**
 * Sums up a recording by class: how many requests, what came of them, and how long served ones took. Of too many
 * classes the further ones are counted together. Not safe for use by several threads.
 */
public final class RecordingSummary {
    private static final int MAX_CLASSES = 200;
    private static final String OTHER_CLASSES = "(others)";
    private static final double NANOS_PER_SECOND = 1e9;

    /** What is counted of one request class. */
    private static final class ClassSummary {
        final Map<Result, Long> results = new EnumMap<>(Result.class);
        final ServedLatency latency = new ServedLatency();
        long requests;
        long retries;

        void add(RecordedExchange exchange) {
            requests++;
            if (exchange.retry()) {
                retries++;
            }
            results.merge(exchange.result(), 1L, Long::sum);
            latency.add(exchange);
        }

        long count(Result result) {
            return results.getOrDefault(result, 0L);
        }
    }

    private final Map<String, ClassSummary> classes = new TreeMap<>();
    private long firstRequestNanos = Long.MAX_VALUE;
    private long lastRequestNanos = Long.MIN_VALUE;
    private long requests;

    /** Counts an exchange. */
    public void add(RecordedExchange exchange) {
        summaryOf(exchange.requestClass()).add(exchange);
        firstRequestNanos = Math.min(firstRequestNanos, exchange.requestNanos());
        lastRequestNanos = Math.max(lastRequestNanos, exchange.requestNanos());
        requests++;
    }

    private ClassSummary summaryOf(String requestClass) {
        boolean hasOwnLine = classes.containsKey(requestClass) || classes.size() < MAX_CLASSES;
        return classes.computeIfAbsent(hasOwnLine ? requestClass : OTHER_CLASSES, absent -> new ClassSummary());
    }

    /** How many requests there were. */
    public long requests() {
        return requests;
    }

    /** From the first request to the last, by the recording's own clock, in seconds. */
    public double seconds() {
        return requests == 0 ? 0 : (lastRequestNanos - firstRequestNanos) / NANOS_PER_SECOND;
    }

    /** A table with a line for each class. */
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
        classes.forEach((name, summary) -> text.append(tableLine(ClassLabels.of(name), summary)));
        return text.toString();
    }

    private static String tableLine(String name, ClassSummary summary) {
        return String.format(
                Locale.ROOT,
                "%-20s %9d %9d %9d %9d %9d %9d %9.2f %9.2f %9.2f%n",
                name,
                summary.requests,
                summary.count(Result.SERVED),
                summary.count(Result.REFUSED),
                summary.count(Result.FAILED),
                summary.count(Result.NONE),
                summary.retries,
                summary.latency.percentileMillis(50),
                summary.latency.percentileMillis(99),
                summary.latency.maxMillis());
    }
}
