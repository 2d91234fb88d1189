package mintstair.discovery.pace;

import java.util.Random;
import mintstair.retry.Backoff;

/**
 * The timing of the long polls that watch the endpoint list: how long a poll waits for changes, when its response is
 * overdue, and the delay before a retry. A draining endpoint may be sent requests only for a grace period, which starts
 * when the service has the change and not when this proxy reads it; a lost response must therefore be noticed within
 * that period.
 *
 * <p>There are two kinds of service. An agent on this machine responds at once and at no cost, and its grace period
 * runs whether or not a poll is open: a quarter of the grace period is for a response, half is for a poll's wait, and
 * the rest for a retry. A service that the whole fleet shares is polled with long waits, and its retries are spread by
 * {@link JitteredBackoff}.
 *
 * <p>All times are microseconds. Not thread-safe.
 */
public final class WatchPacing {
    /** Used where the settings give no grace period, and for those below or above the bounds. */
    static final long DEFAULT_GRACE_MICROS = 1_000_000;

    private static final long MIN_GRACE_MICROS = 200_000;
    private static final long MAX_GRACE_MICROS = 4_000_000;
    /** The first delay after a failure of the local agent; it doubles up to the time for a response. */
    private static final long LOCAL_INITIAL_DELAY_MICROS = 10_000;
    /** Practically no wait: an unconfirmed local agent is to respond at once, so that its silence shows at once. */
    private static final long LOCAL_UNCONFIRMED_WAIT_MICROS = 1_000;
    /** Polls in flight to the local agent: a late response is still accepted while the next poll is tried. */
    private static final int LOCAL_MAX_IN_FLIGHT = 4;

    /** How long the shared service holds a poll, so that an idle fleet polls rarely. */
    private static final long SHARED_WAIT_MICROS = 20_000_000;
    /** The first poll, and one after a failure: shows soon whether the service responds and knows this revision. */
    private static final long SHARED_UNCONFIRMED_WAIT_MICROS = 2_000_000;
    /**
     * The grace period of a change that a failed poll missed starts this long after the service had it and was
     * reachable.
     */
    static final long NOTIFICATION_DEADLINE_MICROS = 6_000_000;
    /**
     * The grace period of what a silent poll missed starts 2 s after the end of its wait, and
     * {@link #NOTIFICATION_DEADLINE_MICROS} after it was sent; half of either is for noticing the silence.
     */
    private static final long SHARED_DELTA_OVERDUE_MICROS = 1_000_000;

    private static final long SHARED_SNAPSHOT_OVERDUE_MICROS = NOTIFICATION_DEADLINE_MICROS / 2;
    /** The longest delay after a lost connection or a silent poll: most of the time that is then left. */
    private static final long MAX_DELAY_AFTER_LOSS_MICROS = 900_000;
    /** After a rejection the service is known to be up and busy, and a response may take the rest of the time. */
    static final long MAX_DELAY_AFTER_REJECTION_MICROS = 4_500_000;
    /** After a timeout; the service may have become reachable just after the call was sent. */
    static final long MAX_DELAY_AFTER_TIMEOUT_MICROS = 2_500_000;

    /** Why a call has to be made again. */
    public enum Failure {
        /**
         * The connection failed or a held poll fell silent, or the response was malformed: says nothing about the load.
         */
        CONNECTION_LOST,
        /** The service responded, but with an error status. */
        REJECTED,
        /** No response to a call that is not held. */
        TIMED_OUT
    }

    private final boolean localAgent;
    private final long localResponseMicros;
    private final Backoff afterLoss;
    private final Backoff afterRejection;
    private final Backoff afterTimeout;

    private WatchPacing(
            boolean localAgent,
            long localResponseMicros,
            Backoff afterLoss,
            Backoff afterRejection,
            Backoff afterTimeout) {
        this.localAgent = localAgent;
        this.localResponseMicros = localResponseMicros;
        this.afterLoss = afterLoss;
        this.afterRejection = afterRejection;
        this.afterTimeout = afterTimeout;
    }

    /**
     * For an agent on this machine.
     *
     * @param drainGraceMicros how long a draining endpoint may still be sent requests; 0 where the settings give none
     */
    public static WatchPacing forLocalAgent(long drainGraceMicros, Random random) {
        long graceMicros = drainGraceMicros > 0 ? drainGraceMicros : DEFAULT_GRACE_MICROS;
        long boundedMicros = Math.max(MIN_GRACE_MICROS, Math.min(MAX_GRACE_MICROS, graceMicros));
        long responseMicros = boundedMicros / 4;
        Backoff retries = new Backoff(random, LOCAL_INITIAL_DELAY_MICROS, responseMicros);
        return new WatchPacing(true, responseMicros, retries, retries, retries);
    }

    /**
     * For a service shared by this many proxies, each of which is sent a list of this many endpoints. After any failure
     * the retry comes early enough for its response to arrive within {@link #NOTIFICATION_DEADLINE_MICROS}, whenever
     * during the failed call or the delay the service became reachable again.
     */
    public static WatchPacing forSharedService(int proxies, int endpoints, Random random) {
        JitteredBackoff jittered = new JitteredBackoff(proxies, endpoints, random);
        return new WatchPacing(
                false,
                0,
                jittered.upTo(MAX_DELAY_AFTER_LOSS_MICROS),
                jittered.upTo(MAX_DELAY_AFTER_REJECTION_MICROS),
                jittered.upTo(MAX_DELAY_AFTER_TIMEOUT_MICROS));
    }

    /**
     * How long the service is asked to hold a poll for changes.
     *
     * @param confirmed whether the previous call succeeded
     */
    public long pollWaitMicros(boolean confirmed) {
        if (localAgent) {
            return confirmed ? 2 * localResponseMicros : LOCAL_UNCONFIRMED_WAIT_MICROS;
        }
        return confirmed ? SHARED_WAIT_MICROS : SHARED_UNCONFIRMED_WAIT_MICROS;
    }

    /**
     * After how long a missing response counts as overdue.
     *
     * @param pollWaitMicros how long the service holds the poll; 0 for a call for the snapshot
     */
    public long responseTimeoutMicros(long pollWaitMicros) {
        if (localAgent) {
            return pollWaitMicros + localResponseMicros;
        }
        return pollWaitMicros > 0 ? pollWaitMicros + SHARED_DELTA_OVERDUE_MICROS : SHARED_SNAPSHOT_OVERDUE_MICROS;
    }

    /** The failure that an overdue response stands for, given the wait of its poll (0 for a call for the snapshot). */
    public Failure timeoutFailure(long pollWaitMicros) {
        return pollWaitMicros > 0 ? Failure.CONNECTION_LOST : Failure.TIMED_OUT;
    }

    /**
     * Records a failure and returns the delay before the retry; it grows with consecutive failures of the same kind.
     */
    public long retryDelayMicros(Failure failure) {
        return switch (failure) {
            case CONNECTION_LOST -> afterLoss.nextDelayMicros();
            case REJECTED -> afterRejection.nextDelayMicros();
            case TIMED_OUT -> afterTimeout.nextDelayMicros();
        };
    }

    /** Whether the next call is made at once, beside one whose response is overdue. */
    public boolean hedgesOverdueCalls() {
        return localAgent;
    }

    /** The most calls that may be in flight at once. */
    public int maxInFlight() {
        return localAgent ? LOCAL_MAX_IN_FLIGHT : 1;
    }

    /** Records a usable response: the next failure counts as the first. */
    public void recordSuccess() {
        afterLoss.reset();
        afterRejection.reset();
        afterTimeout.reset();
    }
}
