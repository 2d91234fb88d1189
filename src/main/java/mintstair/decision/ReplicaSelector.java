package mintstair.decision;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Selects a replica for a read, at random among those that are recent enough and have capacity, weighted by health and
 * slow start. Times are in microseconds. Not safe for use by several threads.
 */
final class ReplicaSelector {
    /**
     * A replica with more than this many times the mean of its peers in flight is not selected: chance alone can put
     * twice as many on one replica as on another.
     */
    private static final double EXCESS_LOAD_FACTOR = 1.3;
    /** A load of up to this many attempts above that multiple of the mean is not yet excess load. */
    private static final double EXCESS_LOAD_MARGIN = 0.5;
    /** How many times the mean limit one replica may have in flight, since chance distributes requests unevenly. */
    private static final double UNEVENNESS_FACTOR = 2;
    /** The weight of an unresponsive, failing or slow replica. */
    static final double TRIAL_WEIGHT = 0.03;
    /** The latency relative to peers above which the weight of a replica decreases with the square of its latency. */
    private static final double SLOW_FACTOR = 1.6;
    /** How long an endpoint that rejected an attempt for lack of capacity gets no requests. */
    static final long OVERLOADED_REST_MICROS = 100_000;

    private final Supplier<RouterSettings> settings;
    private final ReplicaFreshness freshness;
    private final SlowStartBudget slowStartBudget;
    private final Random random;

    ReplicaSelector(
            Supplier<RouterSettings> settings,
            ReplicaFreshness freshness,
            SlowStartBudget slowStartBudget,
            Random random) {
        this.settings = settings;
        this.freshness = freshness;
        this.slowStartBudget = slowStartBudget;
        this.random = random;
    }

    /** Returns a replica for the read, or null if none is recent enough and has capacity. */
    Endpoint select(long now, ReplicaSet replicaSet, InFlightRequest read, ReadRequirement requirement) {
        List<Endpoint> members = replicaSet.members;
        ReplicaSurvey survey = survey(now, replicaSet);
        double maxInFlight = maxInFlight(now, replicaSet, read, requirement);
        double utilization = (survey.inFlight() + read.admissionSample)
                / (survey.trustedCapacity() * replicaSet.replicaLimit.value(now))
                / read.capacityShare();
        double[] weights = new double[members.size()];
        double sum = 0;
        int serving = 0;
        for (int i = 0; i < weights.length; i++) {
            Endpoint member = members.get(i);
            serving += member.isServing() && !member.isPrimary() ? 1 : 0;
            if (freshness.isRecentEnough(now, member, read, requirement)
                    && member.inFlight <= maxInFlight
                    && hasCapacity(now, member, read, utilization)) {
                weights[i] = healthWeight(member, survey) * capacityShare(now, member);
                sum += weights[i];
            }
        }
        double demandPerWeight = readsPerSecond(now, replicaSet) / sum;
        double eligibleShare = sum / Math.max(1, serving);
        int index = draw(weights);
        while (index >= 0) {
            Endpoint member = members.get(index);
            if (canSend(now, member, read, weights[index] * demandPerWeight, eligibleShare)) {
                return member;
            }
            weights[index] = 0;
            index = draw(weights);
        }
        return null;
    }

    private double readsPerSecond(long now, ReplicaSet replicaSet) {
        return replicaSet.demand.readsPerSecond(now, slowStartBudget.assumedDemandPerSecond(now));
    }

    /**
     * Returns whether the endpoint that was drawn may be sent the read. One that is in slow start or unresponsive gets
     * no more than its own share while its peers are not eligible: if all routers sent it the requests of its peers, it
     * would be overloaded or the requests would be lost.
     */
    private boolean canSend(
            long now, Endpoint endpoint, InFlightRequest read, double demandPerSecond, double eligibleShare) {
        if (isRestricted(now, endpoint) && read.admissionSample >= eligibleShare) {
            return false;
        }
        return slowStartBudget.admits(now, endpoint, read, demandPerSecond);
    }

    /** Returns a random index, with a probability proportional to its weight; -1 if all weights are 0. */
    private int draw(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        if (sum <= 0) {
            return -1;
        }
        double remaining = random.nextDouble() * sum;
        int index = -1;
        for (int i = 0; i < weights.length && remaining >= 0; i++) {
            if (weights[i] > 0) {
                index = i;
            }
            remaining -= weights[i];
        }
        return index;
    }

    private boolean isRestricted(long now, Endpoint endpoint) {
        return endpoint.liveness.isUnresponsive()
                || (endpoint.slowStart.isActive() && capacityShare(now, endpoint) < 1);
    }

    /**
     * Returns the number in flight above which a replica is not selected, by the mean of those that may serve the read.
     */
    private double maxInFlight(long now, ReplicaSet replicaSet, InFlightRequest read, ReadRequirement requirement) {
        double inFlight = 0;
        int peers = 0;
        for (Endpoint member : replicaSet.members) {
            if (freshness.isRecentEnough(now, member, read, requirement) && !member.liveness.isUnresponsive()) {
                inFlight += member.inFlight;
                peers++;
            }
        }
        return peers == 0 ? 0 : EXCESS_LOAD_FACTOR * inFlight / peers + 1;
    }

    /**
     * Returns whether the endpoint has clearly more than its part of what this router has in flight at its replica set.
     */
    static boolean hasExcessLoad(Endpoint endpoint) {
        double inFlight = endpoint.replicaSet.inFlight();
        int members = endpoint.replicaSet.members.size();
        return endpoint.inFlight > EXCESS_LOAD_FACTOR * inFlight / members + EXCESS_LOAD_MARGIN;
    }

    /** Returns the load, the capacity and the mean slowdown of the responsive replicas of a set. */
    ReplicaSurvey survey(long now, ReplicaSet replicaSet) {
        double inFlight = 0;
        double trustedCapacity = 0;
        double slowdown = 0;
        int count = 0;
        for (Endpoint member : replicaSet.members) {
            if (member.isPrimary() || !member.isServing() || member.liveness.isUnresponsive()) {
                continue;
            }
            member.outliers.decay(now);
            inFlight += member.inFlight;
            trustedCapacity += capacityShare(now, member);
            slowdown += member.outliers.slowdown();
            count++;
        }
        return new ReplicaSurvey(
                inFlight, Math.max(ReplicaSurvey.MIN_CAPACITY, trustedCapacity), count == 0 ? 1 : slowdown / count);
    }

    private double capacityShare(long now, Endpoint endpoint) {
        return endpoint.capacityShare(now, settings.get().protection());
    }

    /**
     * Returns whether there is capacity for the read, both at the endpoint and in the replica set.
     *
     * @param utilization the part of the read's share of the capacity of the set that is in use
     */
    private boolean hasCapacity(long now, Endpoint endpoint, InFlightRequest read, double utilization) {
        if (endpoint.liveness.isUnresponsive()) {
            return read.isRepeatable() && endpoint.inFlight == 0;
        }
        double mean = endpoint.replicaSet.replicaLimit.value(now);
        double limit = Math.max(1, UNEVENNESS_FACTOR * mean * capacityShare(now, endpoint));
        return utilization < 1 && endpoint.inFlight < limit && now - endpoint.overloadedAt >= OVERLOADED_REST_MICROS;
    }

    /** Returns the weight of a replica by its health: ejection, failure rate, and latency relative to its peers. */
    private static double healthWeight(Endpoint endpoint, ReplicaSurvey survey) {
        if (endpoint.isEjected()) {
            return TRIAL_WEIGHT;
        }
        double slowdown = endpoint.outliers.slowdown() / survey.meanSlowdown();
        double successRate = 1 - endpoint.outliers.failureRate();
        double weight = successRate * successRate;
        if (slowdown <= SLOW_FACTOR) {
            return weight;
        }
        return Math.max(TRIAL_WEIGHT, weight * SLOW_FACTOR * SLOW_FACTOR / (slowdown * slowdown) / 2);
    }
}
