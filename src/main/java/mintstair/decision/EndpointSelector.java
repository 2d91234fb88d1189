package mintstair.decision;

import java.util.function.Supplier;
import mintstair.request.GiveUpReason;

/**
 * Chooses the endpoint for an attempt: the primary for writes and strong reads, a replica that is recent enough for
 * other reads, else the primary, and for a request that continues a cursor the endpoint that holds it. Where a health
 * check may help, it is sent. Times are microseconds. Not safe for use by several threads.
 */
final class EndpointSelector {
    private static final double MICROS_PER_SECOND = 1e6;

    private final Supplier<RouterSettings> settings;
    private final EndpointDirectory directory;
    private final RequestClassTable classes;
    private final RequestRate requestRate;
    private final PrimaryTracker primaries;
    private final PrimaryAdmission primaryAdmission;
    private final ReplicaSelector replicas;
    private final SlowStartBudget slowStartBudget;
    private final ReplicaFreshness freshness;
    private final HealthChecker healthChecker;

    EndpointSelector(
            Supplier<RouterSettings> settings,
            EndpointDirectory directory,
            RequestClassTable classes,
            RequestRate requestRate,
            PrimaryTracker primaries,
            PrimaryAdmission primaryAdmission,
            ReplicaSelector replicas,
            SlowStartBudget slowStartBudget,
            ReplicaFreshness freshness,
            HealthChecker healthChecker) {
        this.settings = settings;
        this.directory = directory;
        this.classes = classes;
        this.requestRate = requestRate;
        this.primaries = primaries;
        this.primaryAdmission = primaryAdmission;
        this.replicas = replicas;
        this.slowStartBudget = slowStartBudget;
        this.freshness = freshness;
        this.healthChecker = healthChecker;
    }

    /** The endpoint for the next attempt, or null where there is none now. */
    Endpoint choose(long now, InFlightRequest request) {
        ReplicaSet replicaSet = directory.replicaSet(request.request.replicaSet());
        if (request.isSticky()) {
            request.heldBackReason = GiveUpReason.STICKY_HOST;
            return chooseSticky(now, replicaSet, request);
        }
        if (request.needsPrimary()) {
            request.heldBackReason = GiveUpReason.NO_PRIMARY;
            return primaries.confirmPrimary(now, replicaSet) ? primaryAdmission.admit(now, replicaSet, request) : null;
        }
        return chooseForRead(now, replicaSet, request);
    }

    /**
     * The endpoint that holds the request's cursor while that is known to be recent enough; it is polled to find out.
     */
    private Endpoint chooseSticky(long now, ReplicaSet replicaSet, InFlightRequest request) {
        Endpoint endpoint = directory.endpoint(request.request.stickyHost());
        if (endpoint == null || endpoint.replicaSet != replicaSet || request.attempts() > 0) {
            return null;
        }
        if (!endpoint.isServing() || endpoint.liveness.isUnresponsive()) {
            return null;
        }
        long required = freshness.requiredPosition(now, request);
        boolean recent = !request.needsPrimary() && endpoint.replication.position >= required;
        if (endpoint.isPrimary() || recent) {
            return slowStartBudget.hasCredit(now, endpoint) ? endpoint : null;
        }
        healthChecker.checkSticky(now, endpoint);
        return null;
    }

    private Endpoint chooseForRead(long now, ReplicaSet replicaSet, InFlightRequest read) {
        boolean checked = settings.get().replicaReadCheck() != ReplicaReadCheck.NONE;
        boolean bounded = read.requestClass().consistency() == Consistency.BOUNDED_STALENESS;
        long required = freshness.requiredPosition(now, read);
        // Where replicas check reads, a misdirected one is cheap, so those that may be recent enough count as well:
        // with proven ones alone, all reads crowd for a moment upon whichever replica was polled last.
        long tolerance = checked && bounded ? replicaSet.reportAge() : 0;
        Endpoint replica = replicas.select(now, replicaSet, read, new ReadRequirement(required, tolerance, true));
        Endpoint primary = replica == null && isPollTooCostly(now, read, replicaSet)
                ? primaryAdmission.admit(now, replicaSet, read)
                : null;
        boolean mayImprove = primary == null && (replica == null || ReplicaSelector.hasExcessLoad(replica));
        if (mayImprove && healthChecker.checkOnDemand(now, replicaSet, read, required)) {
            return null;
        }
        if (replica == null && primary == null) {
            replica = replicas.select(now, replicaSet, read, new ReadRequirement(required, tolerance, false));
        }
        recordFallback(replicaSet, read, replica == null);
        if (replica != null) {
            return replica;
        }
        return fallBackToPrimary(now, replicaSet, read, primary, required);
    }

    /**
     * A poll serves all reads of its replica set within a staleness bound. Where less than one comes in that time it
     * costs more than that read gains on a replica in place of a primary with capacity for it.
     */
    private boolean isPollTooCostly(long now, InFlightRequest read, ReplicaSet replicaSet) {
        double readsABound = requestRate.perSecond(now) * classes.tightestStaleness();
        boolean rare = readsABound < MICROS_PER_SECOND * directory.replicaSets().size();
        return rare && !read.wasSentTo(replicaSet.primary);
    }

    private void recordFallback(ReplicaSet replicaSet, InFlightRequest read, boolean fellBack) {
        if (!read.fallbackCounted) {
            read.fallbackCounted = true;
            primaryAdmission.recordReadDecision(replicaSet, fellBack);
        }
    }

    private Endpoint fallBackToPrimary(
            long now, ReplicaSet replicaSet, InFlightRequest read, Endpoint admitted, long required) {
        if (!replicaSet.hasUsablePrimary()) {
            // The next primary is looked for at once: writes, which look for it too, may come too rarely.
            primaries.confirmPrimary(now, replicaSet);
        }
        Endpoint primary = admitted != null ? admitted : primaryAdmission.admit(now, replicaSet, read);
        if (primary != null || settings.get().replicaReadCheck() == ReplicaReadCheck.NONE) {
            return primary;
        }
        // While replicas lag the primary is full first: a misdirected read is still cheaper than a rejected one.
        return replicas.select(now, replicaSet, read, new ReadRequirement(required, replicaSet.reportAge(), false));
    }
}
