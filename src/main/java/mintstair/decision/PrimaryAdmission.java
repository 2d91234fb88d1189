package mintstair.decision;

import java.util.function.Supplier;
import mintstair.request.GiveUpReason;

/**
 * Admits requests to a primary up to its concurrency limit. Reads may fill only a part of it, by their priority; and
 * of reads that fall back to primaries in mass only as many are admitted as those can bear from all routers together,
 * unless their own answers show that they can bear more. Not safe for use by several threads.
 */
final class PrimaryAdmission {
    /** Part of the limit open to the requests of tenants over their quotas. */
    static final double OVER_QUOTA_SHARE = 0.6;
    /** Part of the limit for reads of the least priority: the rest stays for writes. */
    private static final double MIN_READ_SHARE = 0.6;
    /** Weight of what all primaries' answers say, while they are swift, for one that was hardly asked. */
    private static final double POOLED_EVIDENCE_WEIGHT = 0.2;

    private final Supplier<RouterSettings> settings;
    private final PooledLimits pooled;
    private final SlowStartBudget slowStartBudget;
    private final FallbackRate fallbackRate = new FallbackRate();

    PrimaryAdmission(Supplier<RouterSettings> settings, PooledLimits pooled, SlowStartBudget slowStartBudget) {
        this.settings = settings;
        this.pooled = pooled;
        this.slowStartBudget = slowStartBudget;
    }

    /** It was decided for the first time whether a read falls back to its primary. */
    void recordReadDecision(ReplicaSet replicaSet, boolean fellBack) {
        fallbackRate.record(fellBack);
        replicaSet.fallbackRate.record(fellBack);
    }

    /** The primary, if it is there and has capacity for the request; else null. */
    Endpoint admit(long now, ReplicaSet replicaSet, InFlightRequest request) {
        Endpoint primary = replicaSet.primary;
        if (primary == null || !primary.isServing()) {
            request.heldBackReason = GiveUpReason.NO_PRIMARY;
            return null;
        }
        if (primary.liveness.isUnresponsive()) {
            request.heldBackReason = GiveUpReason.NO_PRIMARY;
            return isTrial(now, primary, request) ? primary : null;
        }
        request.heldBackReason = GiveUpReason.PRIMARY_LIMIT;
        if (request.isOutstandingAt(primary) || isResting(now, primary)) {
            return null;
        }
        ProtectionSettings protection = settings.get().protection();
        double share = request.capacityShare()
                * (request.needsPrimary() ? 1 : readShare(request))
                * primary.capacityShare(now, protection);
        if (!request.needsPrimary() && request.admissionSample >= admittedFallbackShare(replicaSet)) {
            return null;
        }
        // A host in slow start gets no more of the demand than its share of its capacity, however little it was sent.
        boolean inShare = request.admissionSample < primary.capacityShare(now, protection);
        if (!inShare || !slowStartBudget.admits(now, primary, request, directedPerSecond(now, replicaSet))) {
            request.heldBackReason = GiveUpReason.SLOW_START;
            slowStartBudget.countHeldBack(primary, request);
            return null;
        }
        double limit = primary.primaryLimit.value(now) * share;
        return primary.inFlight + request.admissionSample < limit ? primary : null;
    }

    /** The work a second that comes to the primary: what needs it, and the reads that fall back to it. */
    private double directedPerSecond(long now, ReplicaSet replicaSet) {
        double assumed = slowStartBudget.assumedDemandPerSecond(now);
        double fallingBack = replicaSet.hasUsableReplica() ? fallbackShare(replicaSet) : 1;
        return replicaSet.demand.primaryOnlyPerSecond(now, assumed)
                + fallingBack * replicaSet.demand.readsPerSecond(now, assumed);
    }

    private double fallbackShare(ReplicaSet replicaSet) {
        return Math.max(replicaSet.fallbackRate.rate(), fallbackRate.rate());
    }

    private static boolean isResting(long now, Endpoint primary) {
        return now - primary.overloadedAt < ReplicaSelector.OVERLOADED_REST_MICROS;
    }

    /** Whether the request may be sent to an unresponsive primary, to see whether it answers again. */
    private static boolean isTrial(long now, Endpoint primary, InFlightRequest request) {
        return request.isRepeatable()
                && !isResting(now, primary)
                && primary.inFlight == 0
                && request.admissionSample < ReplicaSelector.TRIAL_WEIGHT;
    }

    /** Reads of the highest priority may fill what writes may. */
    private static double readShare(InFlightRequest request) {
        return MIN_READ_SHARE + (1 - MIN_READ_SHARE) * request.statistics.priority();
    }

    /** The part of the reads that fall back which are admitted. */
    private double admittedFallbackShare(ReplicaSet replicaSet) {
        ConcurrencyLimit own = replicaSet.primary.primaryLimit;
        double others = pooled.primaries().isStrained()
                ? 0
                : POOLED_EVIDENCE_WEIGHT * pooled.primaries().evidence();
        double evidence = own.evidence() + others;
        double known = evidence / (evidence + ConcurrencyLimit.POOLED);
        double fits = MIN_READ_SHARE / Math.max(1, replicaSet.members.size() - 1) / fallbackShare(replicaSet);
        return known + (1 - known) * fits;
    }
}
