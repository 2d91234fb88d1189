package mintstair.decision;

import java.util.ArrayDeque;

/**
 * Sums the amounts that were added within a time span that ends now. Times are microseconds. Not safe for use by
 * several threads.
 */
final class SlidingWindow {
    private record Entry(long at, double amount) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>(0);
    private double sum;

    /** Adds an amount, and removes amounts that are older than the span. */
    void add(long now, double amount, long spanMicros) {
        removeExpired(now, spanMicros);
        entries.add(new Entry(now, amount));
        sum += amount;
    }

    /** Returns the sum of the amounts that were added within the span. */
    double sum(long now, long spanMicros) {
        removeExpired(now, spanMicros);
        return sum;
    }

    private void removeExpired(long now, long spanMicros) {
        while (!entries.isEmpty() && now - entries.peek().at >= spanMicros) {
            sum -= entries.poll().amount;
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
    }
}
