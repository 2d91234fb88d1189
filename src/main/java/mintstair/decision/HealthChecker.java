package mintstair.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Decides when endpoints are polled for their position and role: periodically, as often as the cost of a poll allows,
 * and on demand, if a poll may prove a replica recent enough for a pending read. Times are in microseconds. Not safe
 * for use by several threads.
 */
final class HealthChecker {
    /** The interval of periodic polls, unless staleness bounds or the cost of polls require another one. */
    static final long INTERVAL_MICROS = 100_000;
    /** The number of periodic polls of an endpoint within the tightest staleness bound. */
    private static final int POLLS_PER_BOUND = 3;
    /** The share of the value of all requests that periodic polls may cost. */
    private static final double PERIODIC_BUDGET = 0.007;
    /** The share of the value of all requests that polls on demand may cost. */
    private static final double ON_DEMAND_BUDGET = 0.03;
    /** If the cost makes the interval longer than this, endpoints are polled on demand only. */
    private static final long MAX_PERIODIC_INTERVAL_MICROS = 1_000_000;
    /** Caps the computed interval, which is unbounded if there are no requests. */
    private static final long INTERVAL_CAP_MICROS = 1_000_000_000_000L;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MIN_COST = 1e-9;
    /** The number of polls on demand that the budget allows at the start. */
    private static final double INITIAL_ON_DEMAND_POLLS = 10;
    /** The largest number of polls on demand that the budget accumulates. */
    private static final double MAX_ON_DEMAND_POLLS = 40;
    /** The largest number of polls that are sent at once for one read. */
    private static final int POLLS_PER_ROUND = 2;
    /** The number of rounds of polls for one read before it falls back to the primary. */
    private static final int MAX_ROUNDS = 2;
    /**
     * How long a read waits for a poll, and the shortest time between two polls on demand of an endpoint: many
     * round-trip times.
     */
    private static final long ON_DEMAND_WAIT_MICROS = 30_000;
    /** After this time a read may start another round even if it has used all of them. */
    private static final long ROUND_RESET_MICROS = 100_000;
    /** Each interval is multiplied by a random factor from this on, so that routers do not poll in step. */
    private static final double MIN_JITTER = 0.9;
    /** The width of the range of that factor. */
    private static final double JITTER_SPAN = 0.2;

    private final Supplier<RouterSettings> settings;
    private final RequestClassTable classes;
    private final RequestRate requestRate;
    private final ReplicaFreshness freshness;
    private final Random random;
    private final RouterActions actions;
    private final TokenBucket onDemandBudget = new TokenBucket(INITIAL_ON_DEMAND_POLLS, MAX_ON_DEMAND_POLLS);

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

    /** Adds the share of a poll on demand that a request earns on arrival. */
    void requestArrived(long now) {
        double cost = Math.max(MIN_COST, settings.get().healthCheckCost());
        onDemandBudget.earn(ON_DEMAND_BUDGET / cost, requestRate.perSecond(now));
    }

    /** Sends a health check to the endpoint. */
    void sendCheck(long now, Endpoint endpoint) {
        endpoint.healthCheck.inFlight = true;
        endpoint.healthCheck.sentAt = now;
        actions.checkHealth(endpoint.name);
    }

    /**
     * Returns the interval of the periodic polls of each endpoint, or {@link Long#MAX_VALUE} if there are none.
     *
     * @param endpoints the number of endpoints that share the budget
     */
    long interval(long now, int endpoints) {
        if (!settings.get().limits().healthChecks() || endpoints == 0) {
            return Long.MAX_VALUE;
        }
        double cost = Math.max(MIN_COST, settings.get().healthCheckCost());
        double affordable = PERIODIC_BUDGET / cost * requestRate.perSecond(now);
        double byCost = endpoints * MICROS_PER_SECOND / Math.max(MIN_COST, affordable);
        long byStaleness = Math.min(INTERVAL_MICROS, classes.tightestStaleness() / POLLS_PER_BOUND);
        return Math.max(byStaleness, (long) Math.min(INTERVAL_CAP_MICROS, byCost));
    }

    /** Returns whether endpoints are polled periodically at this interval. */
    static boolean isPeriodic(long interval) {
        return interval < MAX_PERIODIC_INTERVAL_MICROS;
    }

    /** Polls the endpoints whose periodic poll is due; returns whether there are periodic polls at all. */
    boolean checkPeriodically(long now, Collection<Endpoint> endpoints) {
        long interval = interval(now, endpoints.size());
        if (!isPeriodic(interval)) {
            return false;
        }
        for (Endpoint endpoint : endpoints) {
            checkIfDue(now, endpoint, interval);
        }
        return true;
    }

    private void checkIfDue(long now, Endpoint endpoint, long interval) {
        HealthCheckState state = endpoint.healthCheck;
        long reportedAt = endpoint.replication.reportedAt;
        long due = reportedAt > 0 ? Math.max(state.dueAt, reportedAt + interval) : state.dueAt;
        if (state.inFlight || now < due || !endpoint.isServing()) {
            return;
        }
        state.dueAt = now + (long) (interval * (MIN_JITTER + JITTER_SPAN * random.nextDouble()));
        sendCheck(now, endpoint);
    }

    /**
     * Polls an endpoint of which something must be known now, unless it was polled just before: the only one that can
     * serve a request, or one whose reply broke off.
     */
    void checkUnlessJustChecked(long now, Endpoint endpoint) {
        boolean due = now - endpoint.healthCheck.sentAt >= ON_DEMAND_WAIT_MICROS;
        if (settings.get().limits().healthChecks() && !endpoint.healthCheck.inFlight && due) {
            sendCheck(now, endpoint);
        }
    }

    /**
     * Polls a few random members of the replica set that may prove recent enough for the read.
     *
     * @return whether the read should wait for polls that are in flight
     */
    boolean checkOnDemand(long now, ReplicaSet replicaSet, InFlightRequest read, long requiredPosition) {
        if (!settings.get().limits().healthChecks()) {
            return false;
        }
        boolean inFlight = false;
        List<Endpoint> candidates = new ArrayList<>();
        for (Endpoint member : replicaSet.members) {
            inFlight |= member.healthCheck.inFlight && isCheckedRecently(now, member);
            if (freshness.isProvenRecent(now, member, read, requiredPosition)
                    && !ReplicaSelector.hasExcessLoad(member)) {
                return false;
            }
            if (canProve(now, member, read, requiredPosition)) {
                candidates.add(member);
            }
        }
        if (now - read.lastPolledAt < ON_DEMAND_WAIT_MICROS && inFlight) {
            return true;
        }
        boolean isOutOfRounds = read.pollRounds >= MAX_ROUNDS && now - read.lastPolledAt < ROUND_RESET_MICROS;
        if (candidates.isEmpty() || isOutOfRounds) {
            return false;
        }
        read.pollRounds++;
        read.lastPolledAt = now;
        return sendChecks(now, candidates);
    }

    private boolean sendChecks(long now, List<Endpoint> candidates) {
        boolean sent = onDemandBudget.hasToken();
        int count = Math.min(candidates.size(), POLLS_PER_ROUND);
        for (int i = 0; i < count && onDemandBudget.tryAcquire(); i++) {
            sendCheck(now, candidates.remove(random.nextInt(candidates.size())));
        }
        return sent;
    }

    /**
     * Returns whether a poll could prove the replica recent enough: it was not polled just before, nor is it far
     * behind.
     */
    private boolean canProve(long now, Endpoint endpoint, InFlightRequest read, long requiredPosition) {
        boolean isLost = endpoint.liveness.isUnresponsive() && endpoint.liveness.consecutiveUnreachable > 0;
        boolean isBusy = endpoint.healthCheck.inFlight || isCheckedRecently(now, endpoint);
        return !isLost && !isBusy && freshness.canBeProvenRecent(now, endpoint, read, requiredPosition);
    }

    private static boolean isCheckedRecently(long now, Endpoint endpoint) {
        return now - endpoint.healthCheck.sentAt < ON_DEMAND_WAIT_MICROS;
    }
}
