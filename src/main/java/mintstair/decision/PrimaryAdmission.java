package mintstair.decision;

import java.util.function.Supplier;
import mintstair.request.GiveUpReason;

/**
 * Admits requests to a primary up to its concurrency limit. Reads may fill only a share of the limit, which depends on
 * their priority. When many reads fall back to the primaries, only as many are admitted as the primaries can handle
 * from all routers together, unless the replies of the primaries show that they can handle more. Not safe for use by
 * several threads.
 */
final class PrimaryAdmission {
    /** Share of a limit that requests of tenants over their quotas may fill. */
    static final double OVER_QUOTA_SHARE = 0.6;
    /** Share of the limit that reads of the lowest priority may fill; the rest is reserved for writes. */
    private static final double MIN_READ_SHARE = 0.6;
    /** Weight of the samples of all primaries, while their latency is on target, for a primary with few samples. */
    private static final double POOLED_SAMPLE_WEIGHT = 0.2;

    private final Supplier<RouterSettings> settings;
    private final PooledLimits pooled;
    private final SlowStartBudget slowStartBudget;
    private final FallbackRate fallbackRate = new FallbackRate();

    PrimaryAdmission(Supplier<RouterSettings> settings, PooledLimits pooled, SlowStartBudget slowStartBudget) {
        this.settings = settings;
        this.pooled = pooled;
        this.slowStartBudget = slowStartBudget;
    }

    /** Records whether the first routing decision on a read was to fall back to the primary. */
    void recordReadDecision(ReplicaSet replicaSet, boolean fellBack) {
        fallbackRate.record(fellBack);
        replicaSet.fallbackRate.record(fellBack);
    }

    /**
     * Returns the primary if it is available and has capacity for the request, else null. Sets the request's {@code
     * heldBackReason}, which counts if null is returned.
     */
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
        if (request.isOutstandingAt(primary) || hasRejectedLately(now, primary)) {
            return null;
        }
        ProtectionSettings protection = settings.get().protection();
        double share = request.capacityShare()
                * (request.needsPrimary() ? 1 : readShare(request))
                * primary.capacityShare(now, protection);
        if (!request.needsPrimary() && request.admissionSample >= admittedFallbackShare(replicaSet)) {
            return null;
        }
        // A host in slow start gets no larger share of the demand than its capacity share, even if it was sent little.
        boolean inShare = request.admissionSample < primary.capacityShare(now, protection);
        if (!inShare || !slowStartBudget.admits(now, primary, request, directedPerSecond(now, replicaSet))) {
            request.heldBackReason = GiveUpReason.SLOW_START;
            slowStartBudget.recordHeldBack(primary, request);
            return null;
        }
        double limit = primary.primaryLimit.value(now) * share;
        return primary.inFlight + request.admissionSample < limit ? primary : null;
    }

    /** Returns the work per second directed at the primary: requests that need it and reads that fall back to it. */
    private double directedPerSecond(long now, ReplicaSet replicaSet) {
        double assumed = slowStartBudget.assumedDemandPerSecond(now);
        double fallback = replicaSet.hasUsableReplica() ? fallbackShare(replicaSet) : 1;
        return replicaSet.demand.primaryOnlyPerSecond(now, assumed)
                + fallback * replicaSet.demand.readsPerSecond(now, assumed);
    }

    private double fallbackShare(ReplicaSet replicaSet) {
        return Math.max(replicaSet.fallbackRate.rate(), fallbackRate.rate());
    }

    private static boolean hasRejectedLately(long now, Endpoint primary) {
        return now - primary.overloadedAt < ReplicaSelector.OVERLOADED_REST_MICROS;
    }

    /** Returns whether the request may be sent to an unresponsive primary, to find out whether it replies again. */
    private static boolean isTrial(long now, Endpoint primary, InFlightRequest request) {
        return request.isRepeatable()
                && !hasRejectedLately(now, primary)
                && primary.inFlight == 0
                && request.admissionSample < ReplicaSelector.TRIAL_WEIGHT;
    }

    /** Returns the share of the limit that the read may fill; at the highest priority the same as for writes. */
    private static double readShare(InFlightRequest request) {
        return MIN_READ_SHARE + (1 - MIN_READ_SHARE) * request.statistics.priority();
    }

    /**
     * Returns the share of falling-back reads that is admitted. It approaches 1 with more samples, so that the
     * concurrency limit alone decides. Without samples, the primary is assumed to handle {@link #MIN_READ_SHARE} of the
     * reads that one replica serves.
     */
    private double admittedFallbackShare(ReplicaSet replicaSet) {
        ConcurrencyLimit own = replicaSet.primary.primaryLimit;
        double pooledSamples = pooled.primaries().isAboveTargetLatency()
                ? 0
                : POOLED_SAMPLE_WEIGHT * pooled.primaries().sampleCount();
        double samples = own.sampleCount() + pooledSamples;
        double confidence = samples / (samples + ConcurrencyLimit.POOLED_SAMPLES);
        double safeShare = MIN_READ_SHARE / Math.max(1, replicaSet.members.size() - 1) / fallbackShare(replicaSet);
        return confidence + (1 - confidence) * safeShare;
    }
}
