package mintstair.decision;

import java.util.function.Supplier;

/**
 * Tracks the primary of each replica set by the newest evidence, and searches for it if it is unknown or may have
 * failed. Times are in microseconds. Not safe for use by several threads.
 */
final class PrimaryTracker {
    /** A primary without a sign of life for longer than this is checked before a write is sent to it. */
    private static final long CONFIRMATION_MICROS = 1_000_000;
    /** The shortest interval of searches for a primary; it doubles with each search that finds none. */
    private static final long SEARCH_INTERVAL_MICROS = 100_000;
    /**
     * The longest interval of searches, as a multiple of the shortest one, in a small fleet. In a larger fleet the
     * multiple is the fleet size.
     */
    private static final int MAX_INTERVAL_FACTOR = 8;

    private static final int MAX_DOUBLINGS = 10;

    private final Supplier<RouterSettings> settings;
    private final FleetShare fleetShare;
    private final PositionClock positions;
    private final HealthChecker healthChecker;
    private final RouterActions actions;

    PrimaryTracker(
            Supplier<RouterSettings> settings,
            FleetShare fleetShare,
            PositionClock positions,
            HealthChecker healthChecker,
            RouterActions actions) {
        this.settings = settings;
        this.fleetShare = fleetShare;
        this.positions = positions;
        this.healthChecker = healthChecker;
        this.actions = actions;
    }

    /** Records that the endpoint was primary at this time; the newest evidence counts, in whatever order it arrives. */
    void primaryObserved(Endpoint endpoint, long evidenceAt) {
        ReplicaSet replicaSet = endpoint.replicaSet;
        if (evidenceAt < endpoint.replication.replicaEvidenceAt || evidenceAt < replicaSet.primaryEvidenceAt) {
            return;
        }
        if (replicaSet.primary != endpoint) {
            actions.log("replica set " + replicaSet.number + ": primary is " + endpoint.name);
        }
        replicaSet.primary = endpoint;
        replicaSet.primaryEvidenceAt = evidenceAt;
    }

    /** Records that the endpoint was a replica at this time. */
    void replicaObserved(Endpoint endpoint, long evidenceAt) {
        ReplicaSet replicaSet = endpoint.replicaSet;
        endpoint.replication.replicaEvidenceAt = Math.max(endpoint.replication.replicaEvidenceAt, evidenceAt);
        if (replicaSet.primary != endpoint || evidenceAt < replicaSet.primaryEvidenceAt) {
            return;
        }
        replicaSet.primary = null;
        actions.log("replica set " + replicaSet.number + ": " + endpoint.name + " is no longer primary");
    }

    /**
     * Returns whether the primary is known to be alive, so that a write can be sent to it; if not, sends health checks.
     * Replicas that advance show that their primary is alive.
     */
    boolean confirmPrimary(long now, ReplicaSet replicaSet) {
        if (!settings.get().limits().healthChecks()) {
            return true;
        }
        boolean confirmed = replicaSet.hasUsablePrimary() && isKnownAlive(now, replicaSet);
        if (confirmed) {
            replicaSet.consecutivePrimarySearches = 0;
        } else {
            search(now, replicaSet);
        }
        return confirmed;
    }

    private boolean isKnownAlive(long now, ReplicaSet replicaSet) {
        long lastReplyAt = replicaSet.primary.liveness.lastReplyAt;
        return Math.max(lastReplyAt, positions.localTimeOf(replicaSet.number, now, replicaSet.newestPosition))
                > now - CONFIRMATION_MICROS;
    }

    private void search(long now, ReplicaSet replicaSet) {
        if (now - replicaSet.lastPrimarySearchAt < searchInterval(replicaSet)) {
            return;
        }
        replicaSet.lastPrimarySearchAt = now;
        replicaSet.consecutivePrimarySearches++;
        boolean checkAll = isPrimaryDoubtful(now, replicaSet);
        for (Endpoint member : replicaSet.members) {
            if (member.isServing() && !member.healthCheck.inFlight && (checkAll || member.isPrimary())) {
                healthChecker.sendCheck(now, member);
            }
        }
    }

    /**
     * Returns the interval until the next search. Its maximum grows with the fleet size, so that in the end all routers
     * together check an endpoint no more often than a single one does at first.
     */
    private double searchInterval(ReplicaSet replicaSet) {
        int factor = 1 << Math.min(MAX_DOUBLINGS, replicaSet.consecutivePrimarySearches);
        double maxFactor = Math.max(MAX_INTERVAL_FACTOR, fleetShare.effectiveFleetSize());
        return SEARCH_INTERVAL_MICROS * Math.min(factor, maxFactor);
    }

    /** Returns whether another member may be primary, so that all members must be checked. */
    private static boolean isPrimaryDoubtful(long now, ReplicaSet replicaSet) {
        if (!replicaSet.hasUsablePrimary()) {
            return true;
        }
        Endpoint primary = replicaSet.primary;
        boolean checkedRecently = now - primary.healthCheck.sentAt < 2 * SEARCH_INTERVAL_MICROS;
        return primary.liveness.consecutiveUnreachable > 0 || checkedRecently;
    }
}
