package mintstair.decision;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Selects a replica for a read: at random among those that are recent enough and have capacity, weighted by their
 * health and their slow start. Not safe for use by several threads.
 */
final class ReplicaSelector {
    /**
     * A replica with over this many times its peers' mean in flight is left out: chance alone loads one to twice
     * another.
     */
    private static final double CROWDED_FACTOR = 1.3;
    /** Allowed beyond the mean number in flight, whatever that is. */
    private static final double CROWDED_MARGIN = 0.5;
    /** Chance loads one replica to so many times the mean limit. */
    private static final double UNEVENNESS = 2;
    /** The weight of an unresponsive, failing or slow replica. */
    static final double TRIAL_WEIGHT = 0.03;
    /** Latency over peers past which a replica's weight sinks, with the square. */
    private static final double SLOW_FACTOR = 1.6;
    /** An endpoint that rejected an attempt for want of capacity rests this long. */
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

    /** A replica for the read, or null where none is recent enough and has capacity. */
    Endpoint select(long now, ReplicaSet replicaSet, InFlightRequest read, ReadRequirement requirement) {
        List<Endpoint> members = replicaSet.members;
        ReplicaSurvey survey = survey(now, replicaSet);
        double mostInFlight = crowdedAbove(now, replicaSet, read, requirement);
        double use = (survey.inFlight() + read.admissionSample)
                / (survey.trustedCapacity() * replicaSet.replicaLimit.value(now))
                / read.capacityShare();
        double[] weights = new double[members.size()];
        double sum = 0;
        int serving = 0;
        for (int i = 0; i < weights.length; i++) {
            Endpoint member = members.get(i);
            serving += member.isServing() && !member.isPrimary() ? 1 : 0;
            if (freshness.isRecentEnough(now, member, read, requirement)
                    && member.inFlight <= mostInFlight
                    && hasCapacity(now, member, read, use)) {
                weights[i] = healthWeight(member, survey) * capacityShare(now, member);
                sum += weights[i];
            }
        }
        double directedPerWeight = readsPerSecond(now, replicaSet) / sum;
        double peersShare = sum / Math.max(1, serving);
        int drawn = draw(weights);
        while (drawn >= 0) {
            Endpoint member = members.get(drawn);
            if (mayTake(now, member, read, weights[drawn] * directedPerWeight, peersShare)) {
                return member;
            }
            weights[drawn] = 0;
            drawn = draw(weights);
        }
        return null;
    }

    private double readsPerSecond(long now, ReplicaSet replicaSet) {
        return replicaSet.demand.readsPerSecond(now, slowStartBudget.assumedDemandPerSecond(now));
    }

    /**
     * Whether the endpoint that was drawn may take the read. One in slow start or on trial gets no more than its part
     * when its peers are away: what all routers together would send it in their stead overloads it, or is lost.
     */
    private boolean mayTake(
            long now, Endpoint endpoint, InFlightRequest read, double directedPerSecond, double peersShare) {
        if (isWeak(now, endpoint) && read.admissionSample >= peersShare) {
            return false;
        }
        return slowStartBudget.admits(now, endpoint, read, directedPerSecond);
    }

    /** The index of a random one of these weights, each with a probability in proportion to it; -1 where all are 0. */
    private int draw(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        if (sum <= 0) {
            return -1;
        }
        double remaining = random.nextDouble() * sum;
        int drawn = -1;
        for (int i = 0; i < weights.length && remaining >= 0; i++) {
            if (weights[i] > 0) {
                drawn = i;
            }
            remaining -= weights[i];
        }
        return drawn;
    }

    private boolean isWeak(long now, Endpoint endpoint) {
        return endpoint.liveness.isUnresponsive()
                || (endpoint.slowStart.isActive() && capacityShare(now, endpoint) < 1);
    }

    /** The number in flight above which a replica sits out, by the mean of those that may take the read. */
    private double crowdedAbove(long now, ReplicaSet replicaSet, InFlightRequest read, ReadRequirement requirement) {
        double inFlight = 0;
        int peers = 0;
        for (Endpoint member : replicaSet.members) {
            if (freshness.isRecentEnough(now, member, read, requirement) && !member.liveness.isUnresponsive()) {
                inFlight += member.inFlight;
                peers++;
            }
        }
        return peers == 0 ? 0 : CROWDED_FACTOR * inFlight / peers + 1;
    }

    /** Whether one replica gets nearly all that this router sends to its replica set. */
    static boolean hasExcessLoad(Endpoint endpoint) {
        double inFlight = endpoint.replicaSet.inFlight();
        int members = endpoint.replicaSet.members.size();
        return endpoint.inFlight > CROWDED_FACTOR * inFlight / members + CROWDED_MARGIN;
    }

    /** What is in flight at the replicas of a set, what they can be trusted with, and how slow they are in the mean. */
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
     * Whether there is capacity for the read: in the replica set, of which {@code use} is taken, and at the endpoint.
     */
    private boolean hasCapacity(long now, Endpoint endpoint, InFlightRequest read, double use) {
        if (endpoint.liveness.isUnresponsive()) {
            return read.isRepeatable() && endpoint.inFlight == 0;
        }
        double mean = endpoint.replicaSet.replicaLimit.value(now);
        double limit = Math.max(1, UNEVENNESS * mean * capacityShare(now, endpoint));
        return use < 1 && endpoint.inFlight < limit && now - endpoint.overloadedAt >= OVERLOADED_REST_MICROS;
    }

    /** A replica's weight by its symptoms: no answers, failures, latency over its peers'. */
    private static double healthWeight(Endpoint endpoint, ReplicaSurvey survey) {
        if (endpoint.isEjected()) {
            return TRIAL_WEIGHT;
        }
        double slowdown = endpoint.outliers.slowdown() / survey.meanSlowdown();
        double succeeding = 1 - endpoint.outliers.failureRate();
        double weight = succeeding * succeeding;
        if (slowdown <= SLOW_FACTOR) {
            return weight;
        }
        return Math.max(TRIAL_WEIGHT, weight * SLOW_FACTOR * SLOW_FACTOR / (slowdown * slowdown) / 2);
    }
}
