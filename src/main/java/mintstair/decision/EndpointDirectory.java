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
 * The endpoints and replica sets of the endpoint list, including endpoints that were removed recently. Times are in
 * microseconds. Not safe for use by several threads.
 */
final class EndpointDirectory {
    /**
     * The span, for each router of the fleet, over which routers that learn of an endpoint at the same time spread
     * their first health checks.
     */
    private static final long FIRST_CHECK_SPREAD_PER_ROUTER_MICROS = 1_000;

    private final Supplier<RouterSettings> settings;
    private final FleetShare fleetShare;
    private final PooledLimits pooledLimits;
    private final SlowStartController slowStarts;
    private final PrimaryTracker primaries;
    private final Random random;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<Integer, ReplicaSet> replicaSets = new TreeMap<>();

    EndpointDirectory(
            Supplier<RouterSettings> settings,
            FleetShare fleetShare,
            PooledLimits pooledLimits,
            SlowStartController slowStarts,
            PrimaryTracker primaries,
            Random random) {
        this.settings = settings;
        this.fleetShare = fleetShare;
        this.pooledLimits = pooledLimits;
        this.slowStarts = slowStarts;
        this.primaries = primaries;
        this.random = random;
    }

    /** Applies a snapshot of the endpoint list, or changes to it. */
    void update(long now, EndpointUpdateType type, List<EndpointEntry> entries) {
        if (type != EndpointUpdateType.DELTA) {
            removeMissing(now, entries);
        }
        for (EndpointEntry entry : entries) {
            update(now, entry);
        }
        endpoints.values().removeIf(endpoint -> removeIfExpired(now, endpoint));
    }

    private void removeMissing(long now, List<EndpointEntry> entries) {
        Set<String> listedHosts = new HashSet<>();
        for (EndpointEntry entry : entries) {
            listedHosts.add(entry.host());
        }
        for (Endpoint endpoint : endpoints.values()) {
            if (!listedHosts.contains(endpoint.name)) {
                endpoint.removed(now, isRemovalAdvisory());
            }
        }
    }

    private void update(long now, EndpointEntry entry) {
        Endpoint endpoint = endpoints.get(entry.host());
        ReplicaSet replicaSet = replicaSet(entry.replicaSet());
        if (endpoint != null && endpoint.replicaSet != replicaSet) {
            // The state of an endpoint is valid in one replica set only, and the former set must not use it any more.
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
        // The role in the list lags behind: it counts only while no primary is known.
        if (settings.get().listReportsRole() && entry.primary() && replicaSet.primary == null) {
            primaries.primaryObserved(endpoint, 0);
        }
    }

    private Endpoint add(long now, String name, ReplicaSet replicaSet) {
        double fleetSize = fleetShare.effectiveFleetSize();
        long spread =
                Math.min(HealthChecker.INTERVAL_MICROS / 2, (long) (fleetSize * FIRST_CHECK_SPREAD_PER_ROUTER_MICROS));
        long firstCheckAt = now + (long) (random.nextDouble() * spread);
        Endpoint endpoint = new Endpoint(name, replicaSet, pooledLimits.newPrimaryLimit(fleetSize), firstCheckAt);
        endpoints.put(name, endpoint);
        replicaSet.members.add(endpoint);
        return endpoint;
    }

    /** Removes an expired endpoint from its replica set: hosts are replaced under new names all the time. */
    private static boolean removeIfExpired(long now, Endpoint endpoint) {
        if (!endpoint.isExpired(now)) {
            return false;
        }
        endpoint.replicaSet.remove(endpoint);
        return true;
    }

    private boolean isRemovalAdvisory() {
        return settings.get().protection().removalIsAdvisory();
    }

    /** Applies new settings to the concurrency limits, slow starts and removals of all endpoints. */
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

    /** Evaluates the listed start times again, because the estimate of the hosts' clock has changed. */
    void hostClockChanged(long now) {
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.listedStartTime > 0) {
                slowStarts.updateListedStart(now, endpoint);
            }
        }
    }

    /** Returns the endpoint with this name, or null. */
    Endpoint endpoint(String name) {
        return endpoints.get(name);
    }

    /** Returns whether this is still the endpoint of its name: it has neither expired nor moved to another replica set. */
    boolean contains(Endpoint endpoint) {
        return endpoints.get(endpoint.name) == endpoint;
    }

    /** Returns all endpoints, in the order in which they were first listed. */
    Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    /** Returns the replica set with this number; creates it if there is none. */
    ReplicaSet replicaSet(int number) {
        return replicaSets.computeIfAbsent(
                number, key -> new ReplicaSet(key, pooledLimits.newReplicaLimit(fleetShare.effectiveFleetSize())));
    }

    /** Returns all replica sets, in the order of their numbers. */
    Collection<ReplicaSet> replicaSets() {
        return replicaSets.values();
    }

    /**
     * Passes the number of usable endpoints, their available capacity and their capacity hints to {@code throughput}.
     */
    void updateThroughput(long now, HostThroughput throughput) {
        ProtectionSettings protection = settings.get().protection();
        int count = 0;
        double availableCapacity = 0;
        double capacityHints = 0;
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.isServing() && !endpoint.liveness.isUnresponsive()) {
                count++;
                availableCapacity += endpoint.capacityShare(now, protection);
                capacityHints += endpoint.capacityHint;
            }
        }
        throughput.advance(now, count, availableCapacity, capacityHints);
    }

    /** Returns the number of listed endpoints that are draining, unresponsive or failing. */
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
