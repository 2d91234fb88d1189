package mintstair.decision;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The endpoints and replica sets that the endpoint list names, and those that it named lately. Times are
 * microseconds. Not safe for use by several threads.
 */
final class EndpointDirectory {
    /**
     * Times the fleet size: the span over which routers that learn of an endpoint together spread their first health
     * checks.
     */
    private static final long FIRST_CHECK_SPREAD_MICROS = 1_000;

    private final Supplier<RouterSettings> settings;
    private final FleetShare fleetShare;
    private final PooledLimits pooled;
    private final SlowStartController slowStarts;
    private final PrimaryTracker primaries;
    private final Random random;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<Integer, ReplicaSet> replicaSets = new TreeMap<>();

    EndpointDirectory(
            Supplier<RouterSettings> settings,
            FleetShare fleetShare,
            PooledLimits pooled,
            SlowStartController slowStarts,
            PrimaryTracker primaries,
            Random random) {
        this.settings = settings;
        this.fleetShare = fleetShare;
        this.pooled = pooled;
        this.slowStarts = slowStarts;
        this.primaries = primaries;
        this.random = random;
    }

    /** Takes in a snapshot of the endpoint list, or changes to it. */
    void update(long now, EndpointUpdateType type, List<EndpointEntry> entries) {
        if (type != EndpointUpdateType.DELTA) {
            removeMissing(now, entries);
        }
        for (EndpointEntry entry : entries) {
            update(now, entry);
        }
        endpoints.values().removeIf(endpoint -> forget(now, endpoint));
    }

    private void removeMissing(long now, List<EndpointEntry> entries) {
        Set<String> named = new HashSet<>();
        for (EndpointEntry entry : entries) {
            named.add(entry.host());
        }
        for (Endpoint endpoint : endpoints.values()) {
            if (!named.contains(endpoint.name)) {
                endpoint.removed(now, isRemovalAdvisory());
            }
        }
    }

    private void update(long now, EndpointEntry entry) {
        Endpoint endpoint = endpoints.get(entry.host());
        ReplicaSet replicaSet = replicaSet(entry.replicaSet());
        if (endpoint != null && endpoint.replicaSet != replicaSet) {
            // Nothing known of it holds in another replica set, and the old one must not use it.
            endpoint.stopServing();
            endpoint.replicaSet.remove(endpoint);
            endpoint = null;
        }
        if (endpoint == null) {
            endpoint = add(now, entry.host(), replicaSet);
        }
        endpoint.listed(now, entry.state(), isRemovalAdvisory());
        endpoint.capacityHint = entry.capacityHint();
        if (entry.startTimeMicros() > endpoint.listedStartTime) {
            endpoint.listedStartTime = entry.startTimeMicros();
            slowStarts.updateListedStart(now, endpoint);
        }
        // The list's role is late: it only fills in where nothing better is known.
        if (settings.get().listReportsRole() && entry.primary() && replicaSet.primary == null) {
            primaries.primaryObserved(endpoint, 0);
        }
    }

    private Endpoint add(long now, String name, ReplicaSet replicaSet) {
        double fleetSize = fleetShare.effectiveFleetSize();
        long spread = Math.min(HealthChecker.INTERVAL_MICROS / 2, (long) (fleetSize * FIRST_CHECK_SPREAD_MICROS));
        long firstCheckAt = now + (long) (random.nextDouble() * spread);
        Endpoint endpoint = new Endpoint(name, replicaSet, pooled.newPrimaryLimit(fleetSize), firstCheckAt);
        endpoints.put(name, endpoint);
        replicaSet.members.add(endpoint);
        return endpoint;
    }

    /** Endpoints come and go under new names all day long: one that stays away is forgotten. */
    private static boolean forget(long now, Endpoint endpoint) {
        if (!endpoint.isExpired(now)) {
            return false;
        }
        endpoint.replicaSet.remove(endpoint);
        return true;
    }

    private boolean isRemovalAdvisory() {
        return settings.get().protection().removalIsAdvisory();
    }

    /** Concludes anew, by other settings, what was concluded by the former ones. */
    void settingsChanged(long now) {
        double fleetSize = fleetShare.effectiveFleetSize();
        for (ReplicaSet replicaSet : replicaSets.values()) {
            replicaSet.replicaLimit.setFleetSize(fleetSize);
        }
        for (Endpoint endpoint : endpoints.values()) {
            endpoint.primaryLimit.setFleetSize(fleetSize);
            slowStarts.settingsChanged(now, endpoint);
            if (endpoint.isRemovalIgnored()) {
                endpoint.removed(now, isRemovalAdvisory());
            }
        }
    }

    /** What is known of the hosts' clock has changed: starts by the endpoint list are judged anew. */
    void hostClockChanged(long now) {
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.listedStartTime > 0) {
                slowStarts.updateListedStart(now, endpoint);
            }
        }
    }

    /** The endpoint of this name, or null. */
    Endpoint endpoint(String name) {
        return endpoints.get(name);
    }

    /** All endpoints, in the order in which they were first listed. */
    Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    /** The replica set of this number; it comes to be when it is first named. */
    ReplicaSet replicaSet(int number) {
        return replicaSets.computeIfAbsent(
                number, key -> new ReplicaSet(key, pooled.newReplicaLimit(fleetShare.effectiveFleetSize())));
    }

    /** All replica sets, by their numbers. */
    Collection<ReplicaSet> replicaSets() {
        return replicaSets.values();
    }

    /** Tells how many endpoints are there to serve, and what share of their capacity they have. */
    void updateThroughput(long now, HostThroughput throughput) {
        ProtectionSettings protection = settings.get().protection();
        int count = 0;
        double warm = 0;
        double sizes = 0;
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.isServing() && !endpoint.liveness.isUnresponsive()) {
                count++;
                warm += endpoint.capacityShare(now, protection);
                sizes += endpoint.capacityHint;
            }
        }
        throughput.advance(now, count, warm, sizes);
    }

    /** How many listed endpoints are draining, unresponsive or failing. */
    int countUnavailable(long now) {
        int count = 0;
        for (Endpoint endpoint : endpoints.values()) {
            endpoint.outliers.decay(now);
            if (!endpoint.isRemoved() && (!endpoint.isServing() || endpoint.isEjected())) {
                count++;
            }
        }
        return count;
    }
}
