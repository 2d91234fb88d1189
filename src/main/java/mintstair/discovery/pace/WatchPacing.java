package mintstair.discovery.pace;

import java.util.Random;
import mintstair.retry.Backoff;

/**
 * Determines the timing of the calls that watch the endpoint list: how long a poll waits for changes, when a response
 * is overdue, and the delay before a retry. A draining endpoint may be sent requests only during a grace period, which
 * starts when the service has the change, not when this proxy receives it. A missing response must therefore be
 * detected within that period.
 *
 * <p>There are two kinds of service. A local agent runs on the same machine as the proxy and responds at once and at
 * negligible cost; the grace period of its changes starts whether or not a poll is open. A quarter of the grace period
 * is for a response, half for the wait of a poll, and the rest for a retry. A shared service is called by the whole
 * fleet. It is polled with long waits, and retries are spread by {@link JitteredBackoff}.
 *
 * <p>All times are in microseconds. Not thread-safe.
 */
public final class WatchPacing {
    /** The grace period if the settings state none. */
    static final long DEFAULT_GRACE_MICROS = 1_000_000;
    /** Shorter grace periods are treated as this one. */
    private static final long MIN_GRACE_MICROS = 200_000;
    /** Longer grace periods are treated as this one. */
    private static final long MAX_GRACE_MICROS = 4_000_000;
    /**
     * The upper bound of the first delay after a failure of a local agent; it doubles with each further failure, up to
     * the time for a response.
     */
    private static final long LOCAL_INITIAL_DELAY_MICROS = 10_000;
    /**
     * The wait of the first poll of a local agent and after a failure: practically none, so that an agent that does not
     * respond is detected as early as possible.
     */
    private static final long LOCAL_UNCONFIRMED_WAIT_MICROS = 1_000;
    /**
     * The most calls in flight to a local agent: the response to an overdue call is still accepted while further calls
     * are made.
     */
    private static final int LOCAL_MAX_IN_FLIGHT = 4;

    /** The wait of a poll of a shared service; long, so that a fleet polls rarely while the list does not change. */
    private static final long SHARED_WAIT_MICROS = 20_000_000;
    /**
     * The wait of the first poll of a shared service and after a failure; short, so that it shows early whether the
     * service responds and has this revision.
     */
    private static final long SHARED_UNCONFIRMED_WAIT_MICROS = 2_000_000;
    /**
     * If a change is missed because a call to a shared service failed, its grace period starts this long after the
     * service had the change and was reachable.
     */
    static final long NOTIFICATION_DEADLINE_MICROS = 6_000_000;
    /**
     * The time for a response of a shared service once the wait of a poll has passed. If a change is missed because a
     * poll gets no response, its grace period starts 2 s after the end of the wait; half of that is for detecting that
     * the response is missing.
     */
    private static final long SHARED_DELTA_OVERDUE_MICROS = 1_000_000;
    /**
     * The time for a response of a shared service to a call for the snapshot. If a change is missed because that call
     * gets no response, its grace period starts {@link #NOTIFICATION_DEADLINE_MICROS} after the call was sent; half of
     * that is for detecting that the response is missing.
     */
    private static final long SHARED_SNAPSHOT_OVERDUE_MICROS = NOTIFICATION_DEADLINE_MICROS / 2;
    /** The longest delay after a lost connection or an overdue poll: most of the time that is then left. */
    private static final long MAX_DELAY_AFTER_LOSS_MICROS = 900_000;
    /** The longest delay after a rejection. The service is up but busy, so a response may take the rest of the time. */
    static final long MAX_DELAY_AFTER_REJECTION_MICROS = 4_500_000;
    /** The longest delay after a timeout. The service may have become reachable just after the call was sent. */
    static final long MAX_DELAY_AFTER_TIMEOUT_MICROS = 2_500_000;

    /** The kind of failure after which a call is retried. */
    public enum Failure {
        /**
         * The connection failed, a poll that the service held got no response, or the response was malformed. Does not
         * indicate that the service is overloaded.
         */
        CONNECTION_LOST,
        /** The service responded with an error status. */
        REJECTED,
        /** A call to which the service was to respond at once got no response. */
        TIMED_OUT
    }

    private final boolean localAgent;
    /** The time for a response of the local agent; unused for a shared service. */
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
     * Returns the pacing for a local agent.
     *
     * @param drainGraceMicros how long a draining endpoint may still be sent requests; 0 for the default
     */
    public static WatchPacing forLocalAgent(long drainGraceMicros, Random random) {
        long graceMicros = drainGraceMicros > 0 ? drainGraceMicros : DEFAULT_GRACE_MICROS;
        long boundedMicros = Math.max(MIN_GRACE_MICROS, Math.min(MAX_GRACE_MICROS, graceMicros));
        long responseMicros = boundedMicros / 4;
        Backoff retries = new Backoff(random, LOCAL_INITIAL_DELAY_MICROS, responseMicros);
        return new WatchPacing(true, responseMicros, retries, retries, retries);
    }

    /**
     * Returns the pacing for a service that is shared by a fleet of {@code proxies}, each of which is sent a list of
     * {@code endpoints}. After any failure the retry is made early enough for its response to arrive within
     * {@link #NOTIFICATION_DEADLINE_MICROS} of when the service became reachable again, whether that was during the
     * failed call or during the delay.
     */
    public static WatchPacing forSharedService(int proxies, int endpoints, Random random) {
        JitteredBackoff jittered = new JitteredBackoff(proxies, endpoints, random);
        return new WatchPacing(
                false,
                0,
                jittered.withMaxDelay(MAX_DELAY_AFTER_LOSS_MICROS),
                jittered.withMaxDelay(MAX_DELAY_AFTER_REJECTION_MICROS),
                jittered.withMaxDelay(MAX_DELAY_AFTER_TIMEOUT_MICROS));
    }

    /**
     * Returns how long the service is to hold a poll until there is a change.
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
     * Returns the time after which a response is overdue.
     *
     * @param pollWaitMicros how long the service may hold the call; 0 for a call for the snapshot
     */
    public long responseTimeoutMicros(long pollWaitMicros) {
        if (localAgent) {
            return pollWaitMicros + localResponseMicros;
        }
        return pollWaitMicros > 0 ? pollWaitMicros + SHARED_DELTA_OVERDUE_MICROS : SHARED_SNAPSHOT_OVERDUE_MICROS;
    }

    /**
     * Returns which kind of failure an overdue response is.
     *
     * @param pollWaitMicros how long the service may hold the call; 0 for a call for the snapshot
     */
    public Failure timeoutFailure(long pollWaitMicros) {
        return pollWaitMicros > 0 ? Failure.CONNECTION_LOST : Failure.TIMED_OUT;
    }

    /** Records a failure and returns the delay before the retry, which grows with each failure of the same kind. */
    public long retryDelayMicros(Failure failure) {
        return switch (failure) {
            case CONNECTION_LOST -> afterLoss.nextDelayMicros();
            case REJECTED -> afterRejection.nextDelayMicros();
            case TIMED_OUT -> afterTimeout.nextDelayMicros();
        };
    }

    /** Returns whether a call whose response is overdue is hedged, with a further call that is made at once. */
    public boolean hedgesOverdueCalls() {
        return localAgent;
    }

    /** Returns how many calls may be in flight at once. */
    public int maxInFlight() {
        return localAgent ? LOCAL_MAX_IN_FLIGHT : 1;
    }

    /** Records a success, after which the next failure of each kind counts as the first. */
    public void recordSuccess() {
        afterLoss.reset();
        afterRejection.reset();
        afterTimeout.reset();
    }
}
