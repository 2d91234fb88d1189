package mintstair.decision;

import java.util.function.Supplier;

/**
 * Knows the primary of each replica set, by the newest evidence, and looks for it where that is missing. Times are
 * microseconds. Not safe for use by several threads.
 */
final class PrimaryTracker {
    /** A primary unheard of for longer is checked before a write is sent to it. */
    private static final long CONFIRMATION_MICROS = 1_000_000;
    /** The shortest time between two searches for a primary; doubled for each that finds none. */
    private static final long SEARCH_INTERVAL_MICROS = 100_000;
    /**
     * The longest time between two searches, in shortest ones, in a small fleet; as many as there are routers in a
     * larger one.
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

    /** There is evidence that the endpoint was primary at this time; the newest counts, whatever order it comes in. */
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

    /** There is evidence that the endpoint was a replica at this time. */
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
     * Whether the primary is known to be alive, so that a write may be risked on it; if not, health checks are sent
     * to find out. Replicas that advance show that their primary lives.
     */
    boolean confirmPrimary(long now, ReplicaSet replicaSet) {
        if (!settings.get().limits().healthChecks()) {
            return true;
        }
        boolean confirmed = replicaSet.hasUsablePrimary() && isHeardOf(now, replicaSet);
        if (confirmed) {
            replicaSet.consecutivePrimarySearches = 0;
        } else {
            search(now, replicaSet);
        }
        return confirmed;
    }

    private boolean isHeardOf(long now, ReplicaSet replicaSet) {
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
        boolean everywhere = isPrimaryDoubtful(now, replicaSet);
        for (Endpoint member : replicaSet.members) {
            if (member.isServing() && !member.healthCheck.inFlight && (everywhere || member.isPrimary())) {
                healthChecker.sendCheck(now, member);
            }
        }
    }

    /** In the end all routers together check an endpoint no oftener than one alone does at first. */
    private double searchInterval(ReplicaSet replicaSet) {
        int doubled = 1 << Math.min(MAX_DOUBLINGS, replicaSet.consecutivePrimarySearches);
        double longest = Math.max(MAX_INTERVAL_FACTOR, fleetShare.effectiveFleetSize());
        return SEARCH_INTERVAL_MICROS * Math.min(doubled, longest);
    }

    /** Whether the primary may be another one, so that all members have to be asked. */
    private static boolean isPrimaryDoubtful(long now, ReplicaSet replicaSet) {
        if (!replicaSet.hasUsablePrimary()) {
            return true;
        }
        Endpoint primary = replicaSet.primary;
        boolean checkedLately = now - primary.healthCheck.sentAt < 2 * SEARCH_INTERVAL_MICROS;
        return primary.liveness.consecutiveUnreachable > 0 || checkedLately;
    }
}
