package mintstair.decision;

import java.util.function.Supplier;
import mintstair.request.GiveUpReason;

/**
 * Chooses the endpoint for an attempt. Writes and strong reads go to the primary; other reads go to a replica that is
 * recent enough, or else to the primary; a request that continues a cursor goes to the endpoint that holds the cursor.
 * If a health check could make an endpoint eligible, the selector sends it. Times are in microseconds. Not safe for use
 * by several threads.
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

    /** Returns the endpoint for the next attempt, or null if none is available now. */
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
     * Returns the endpoint that holds the request's cursor, or null if it is not available or not known to be recent
     * enough. In the latter case it is polled.
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
        healthChecker.checkUnlessJustChecked(now, endpoint);
        return null;
    }

    private Endpoint chooseForRead(long now, ReplicaSet replicaSet, InFlightRequest read) {
        boolean isChecked = settings.get().replicaReadCheck() != ReplicaReadCheck.NONE;
        boolean isBounded = read.requestClass().consistency() == Consistency.BOUNDED_STALENESS;
        long required = freshness.requiredPosition(now, read);
        // If replicas check reads, a misdirected read is cheap, so replicas that are probably recent enough are
        // eligible too. With proven replicas alone, all reads would go to whichever replica was polled last.
        long tolerance = isChecked && isBounded ? replicaSet.reportAge() : 0;
        Endpoint replica = replicas.select(now, replicaSet, read, new ReadRequirement(required, tolerance, true));
        Endpoint primary = replica == null && isPollTooCostly(now, read, replicaSet)
                ? primaryAdmission.admit(now, replicaSet, read)
                : null;
        boolean canImprove = primary == null && (replica == null || ReplicaSelector.hasExcessLoad(replica));
        if (canImprove && healthChecker.checkOnDemand(now, replicaSet, read, required)) {
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
     * Returns whether a poll costs more than it gains. A poll serves all reads of its replica set within a staleness
     * bound. If fewer than one arrives in that time, the poll costs more than the read gains by going to a replica
     * instead of to a primary that has capacity for it.
     */
    private boolean isPollTooCostly(long now, InFlightRequest read, ReplicaSet replicaSet) {
        double readsPerBound = requestRate.perSecond(now) * classes.tightestStaleness();
        boolean isRare =
                readsPerBound < MICROS_PER_SECOND * directory.replicaSets().size();
        return isRare && !read.wasSentTo(replicaSet.primary);
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
            // Starts the search for the new primary at once: writes, which also start it, may be too rare.
            primaries.confirmPrimary(now, replicaSet);
        }
        Endpoint primary = admitted != null ? admitted : primaryAdmission.admit(now, replicaSet, read);
        if (primary != null || settings.get().replicaReadCheck() == ReplicaReadCheck.NONE) {
            return primary;
        }
        // While replicas lag, the primary reaches its limit first. A misdirected read is cheaper than a rejected one.
        return replicas.select(now, replicaSet, read, new ReadRequirement(required, replicaSet.reportAge(), false));
    }
}
