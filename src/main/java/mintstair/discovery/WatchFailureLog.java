package mintstair.discovery;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Writes failures of a watch to standard error. Of consecutive failures each reason is written once, up to a limit, and
 * then the recovery, so that a long outage does not fill the log. Used on the event loop only.
 */
final class WatchFailureLog {
    private static final int MAX_REASONS = 8;

    private final LongSupplier clockMicros;
    private final Set<String> loggedReasons = new HashSet<>();
    /** When the first of the consecutive failures was, on the clock; 0 for none. */
    private long failingSinceMicros;

    WatchFailureLog(LongSupplier clockMicros) {
        this.clockMicros = clockMicros;
    }

    void record(String reason) {
        if (failingSinceMicros == 0) {
            failingSinceMicros = clockMicros.getAsLong();
        }
        if (loggedReasons.size() < MAX_REASONS && loggedReasons.add(reason)) {
            System.err.println("discovery: " + reason);
        }
    }

    /** Ends a sequence of failures, if there is one. */
    void recordRecovery() {
        if (failingSinceMicros > 0) {
            long outageMillis = (clockMicros.getAsLong() - failingSinceMicros) / 1000;
            System.err.println("discovery: recovered after " + outageMillis + " ms");
        }
        failingSinceMicros = 0;
        loggedReasons.clear();
    }
}
