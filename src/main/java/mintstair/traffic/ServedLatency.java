package mintstair.traffic;

import java.util.concurrent.TimeUnit;
import mintstair.traffic.RecordedExchange.Result;
import org.HdrHistogram.Histogram;

/** The latencies of served requests, counted in microseconds and given in milliseconds. */
final class ServedLatency {
    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MICROS_PER_MILLI = 1e3;

    private final Histogram histogram = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

    /** Counts an exchange if it was served. */
    void add(RecordedExchange exchange) {
        if (exchange.result() == Result.SERVED) {
            long micros = TimeUnit.NANOSECONDS.toMicros(exchange.latencyNanos());
            histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
        }
    }

    double percentileMillis(double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    double maxMillis() {
        return histogram.getMaxValue() / MICROS_PER_MILLI;
    }
}
