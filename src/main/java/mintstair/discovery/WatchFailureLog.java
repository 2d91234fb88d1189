package mintstair.discovery;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Logs the failures of a watch to standard error. An outage is a sequence of failures without a success in between. In
 * each outage every distinct reason is logged once, up to a limit, so that a long outage does not fill the log. The
 * recovery is logged with the duration of the outage. Confined to the event loop.
 */
final class WatchFailureLog {
    /** The most reasons that are logged in one outage. */
    private static final int MAX_REASONS = 8;

    private final LongSupplier clockMicros;
    private final Set<String> loggedReasons = new HashSet<>();
    /** When the current outage began, as a reading of the clock; 0 if there is no outage. */
    private long outageStartMicros;

    WatchFailureLog(LongSupplier clockMicros) {
        this.clockMicros = clockMicros;
    }

    /** Records a failure, which begins an outage unless there is one already. */
    void recordFailure(String reason) {
        if (outageStartMicros == 0) {
            outageStartMicros = clockMicros.getAsLong();
        }
        if (loggedReasons.size() < MAX_REASONS && loggedReasons.add(reason)) {
            System.err.println("discovery: " + reason);
        }
    }

    /** Records a success, which ends the outage if there is one. */
    void recordSuccess() {
        if (outageStartMicros > 0) {
            long outageMillis = (clockMicros.getAsLong() - outageStartMicros) / 1000;
            System.err.println("discovery: recovered after " + outageMillis + " ms");
        }
        outageStartMicros = 0;
        loggedReasons.clear();
    }
}
