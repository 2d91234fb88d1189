package mintstair.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Decides when endpoints are polled for their position and role: by a timer, as often as the price of polls allows,
 * and on demand, where a poll may prove a replica recent enough for a read that waits. Times are microseconds. Not
 * safe for use by several threads.
 */
final class HealthChecker {
    /** The usual interval of timed polls, where neither staleness bounds nor the price ask for another. */
    static final long INTERVAL_MICROS = 100_000;
    /** Timed polls within the tightest staleness bound. */
    private static final int POLLS_A_BOUND = 3;
    /** The share of the result that timed polls may cost, and that polls on demand may cost. */
    private static final double TIMED_BUDGET = 0.007;

    private static final double ON_DEMAND_BUDGET = 0.03;
    /** Where the price makes timed polls rarer than this there are none: endpoints are polled on demand. */
    private static final long MAX_INTERVAL_MICROS = 1_000_000;

    private static final long LONGEST_MICROS = 1_000_000_000_000L;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MIN_COST = 1e-9;
    /** Polls on demand saved up at the start, and at most. */
    private static final double INITIAL_ON_DEMAND = 10;

    private static final double MAX_ON_DEMAND = 40;
    /** Polls sent at once for one read, and how often that is done before the primary is used. */
    private static final int POLLS_AT_ONCE = 2;

    private static final int MAX_ROUNDS = 2;
    /** How long a read waits for a poll, many times a round trip; also the time between two polls of an endpoint. */
    private static final long ON_DEMAND_WAIT_MICROS = 30_000;
    /** After this a read may have endpoints polled again, however often it has. */
    private static final long NEXT_ROUND_MICROS = 100_000;
    /** Each interval is altered by up to this part, so that routers do not poll in step. */
    private static final double MIN_JITTER = 0.9;

    private static final double JITTER_SPAN = 0.2;

    private final Supplier<RouterSettings> settings;
    private final RequestClassTable classes;
    private final RequestRate requestRate;
    private final ReplicaFreshness freshness;
    private final Random random;
    private final RouterActions actions;
    private final TokenBucket onDemand = new TokenBucket(INITIAL_ON_DEMAND, MAX_ON_DEMAND);

    HealthChecker(
            Supplier<RouterSettings> settings,
            RequestClassTable classes,
            RequestRate requestRate,
            ReplicaFreshness freshness,
            Random random,
            RouterActions actions) {
        this.settings = settings;
        this.classes = classes;
        this.requestRate = requestRate;
        this.freshness = freshness;
        this.random = random;
        this.actions = actions;
    }

    /** A request has arrived and earns a part of a poll on demand. */
    void requestArrived(long now) {
        double cost = Math.max(MIN_COST, settings.get().healthCheckCost());
        onDemand.earn(ON_DEMAND_BUDGET / cost, requestRate.perSecond(now));
    }

    /** Sends a health check. */
    void sendCheck(long now, Endpoint endpoint) {
        endpoint.healthCheck.inFlight = true;
        endpoint.healthCheck.sentAt = now;
        actions.checkHealth(endpoint.name);
    }

    /** The interval of the timed polls of each of so many endpoints. */
    long interval(long now, int endpoints) {
        if (!settings.get().limits().healthChecks() || endpoints == 0) {
            return Long.MAX_VALUE;
        }
        double cost = Math.max(MIN_COST, settings.get().healthCheckCost());
        double affordable = TIMED_BUDGET / cost * requestRate.perSecond(now);
        double byPrice = endpoints * MICROS_PER_SECOND / Math.max(MIN_COST, affordable);
        long byStaleness = Math.min(INTERVAL_MICROS, classes.tightestStaleness() / POLLS_A_BOUND);
        return Math.max(byStaleness, (long) Math.min(LONGEST_MICROS, byPrice));
    }

    /** Whether endpoints are polled by the timer at this interval. */
    static boolean isPeriodic(long interval) {
        return interval < MAX_INTERVAL_MICROS;
    }

    /** Polls the endpoint if that is due by the timer. */
    void checkIfDue(long now, Endpoint endpoint, long interval) {
        HealthCheckState state = endpoint.healthCheck;
        long reportedAt = endpoint.replication.reportedAt;
        long due = reportedAt > 0 ? Math.max(state.dueAt, reportedAt + interval) : state.dueAt;
        if (state.inFlight || now < due || !endpoint.isServing()) {
            return;
        }
        state.dueAt = now + (long) (interval * (MIN_JITTER + JITTER_SPAN * random.nextDouble()));
        sendCheck(now, endpoint);
    }

    /** Polls the only endpoint that can serve a request, unless that was done just now. */
    void checkSticky(long now, Endpoint endpoint) {
        boolean due = now - endpoint.healthCheck.sentAt >= ON_DEMAND_WAIT_MICROS;
        if (settings.get().limits().healthChecks() && !endpoint.healthCheck.inFlight && due) {
            sendCheck(now, endpoint);
        }
    }

    /**
     * Polls a few random members of the replica set that may prove recent enough for the read.
     *
     * @return whether it pays to wait for polls that are out
     */
    boolean checkOnDemand(long now, ReplicaSet replicaSet, InFlightRequest read, long requiredPosition) {
        if (!settings.get().limits().healthChecks()) {
            return false;
        }
        boolean inFlight = false;
        List<Endpoint> candidates = new ArrayList<>();
        for (Endpoint member : replicaSet.members) {
            inFlight |= member.healthCheck.inFlight && isCheckedLately(now, member);
            if (freshness.isProvenRecent(now, member, read, requiredPosition)
                    && !ReplicaSelector.hasExcessLoad(member)) {
                return false;
            }
            if (mayProve(now, member, read, requiredPosition)) {
                candidates.add(member);
            }
        }
        if (now - read.lastPolledAt < ON_DEMAND_WAIT_MICROS && inFlight) {
            return true;
        }
        boolean roundsUsed = read.pollRounds >= MAX_ROUNDS && now - read.lastPolledAt < NEXT_ROUND_MICROS;
        if (candidates.isEmpty() || roundsUsed) {
            return false;
        }
        read.pollRounds++;
        read.lastPolledAt = now;
        return checkSome(now, candidates);
    }

    private boolean checkSome(long now, List<Endpoint> candidates) {
        boolean sent = onDemand.hasToken();
        int count = Math.min(candidates.size(), POLLS_AT_ONCE);
        for (int i = 0; i < count && onDemand.tryAcquire(); i++) {
            sendCheck(now, candidates.remove(random.nextInt(candidates.size())));
        }
        return sent;
    }

    /** Whether a poll could show the replica recent enough: not just polled, and not shown to be far behind. */
    private boolean mayProve(long now, Endpoint endpoint, InFlightRequest read, long requiredPosition) {
        boolean lost = endpoint.liveness.isUnresponsive() && endpoint.liveness.consecutiveUnreachable > 0;
        boolean busy = endpoint.healthCheck.inFlight || isCheckedLately(now, endpoint);
        return !lost && !busy && freshness.canBeProvenRecent(now, endpoint, read, requiredPosition);
    }

    private static boolean isCheckedLately(long now, Endpoint endpoint) {
        return now - endpoint.healthCheck.sentAt < ON_DEMAND_WAIT_MICROS;
    }
}
