package mintstair.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of one replica set: its members, the primary as far as known, and the requests that wait for one of them.
 * It makes no decisions. Times are in microseconds. Not safe for use by several threads.
 */
final class ReplicaSet {
    /** The assumed age of reports on arrival, until reports of a primary have shown it. */
    private static final long INITIAL_REPORT_AGE_MICROS = 300_000;
    /** The factor by which the estimated age of reports decreases with each report that is younger. */
    private static final double REPORT_AGE_DECAY = 0.95;

    final int number;
    final List<Endpoint> members = new ArrayList<>();
    final ArrayDeque<InFlightRequest> pending = new ArrayDeque<>();
    /** The demand of this router's clients for the set. */
    final ReplicaSetDemand demand = new ReplicaSetDemand();
    /** The concurrency limit of each replica. */
    final ConcurrencyLimit replicaLimit;
    /** The primary by the newest evidence; null if none is known. */
    Endpoint primary;
    /** The time of the newest evidence for {@link #primary}. */
    long primaryEvidenceAt = Positions.UNKNOWN;
    /** The newest known position of all members. */
    long newestPosition;
    /** When the primary was last searched for. */
    long lastPrimarySearchAt = Endpoint.NEVER;
    /** The number of consecutive searches that have not confirmed a primary. */
    int consecutivePrimarySearches;
    /** The estimated age of reports on arrival. */
    private long reportAge = INITIAL_REPORT_AGE_MICROS;
    /** The part of the reads for which no replica was recent enough. */
    final FallbackRate fallbackRate = new FallbackRate();

    ReplicaSet(int number, ConcurrencyLimit replicaLimit) {
        this.number = number;
        this.replicaLimit = replicaLimit;
    }

    /** Returns whether the primary is known, serving and responsive. */
    boolean hasUsablePrimary() {
        return primary != null && primary.isServing() && !primary.liveness.isUnresponsive();
    }

    /** Returns whether any replica is serving and responsive. */
    boolean hasUsableReplica() {
        for (Endpoint member : members) {
            if (member != primary && member.isServing() && !member.liveness.isUnresponsive()) {
                return true;
            }
        }
        return false;
    }

    /** Removes a member that has expired or belongs to another replica set. */
    void remove(Endpoint endpoint) {
        members.remove(endpoint);
        if (primary == endpoint) {
            primary = null;
        }
    }

    /** Records the age that a report of the primary had on arrival. */
    void recordReportAge(long age) {
        reportAge = Math.max(age, (long) (reportAge * REPORT_AGE_DECAY));
    }

    /** Returns the estimated age of reports on arrival. */
    long reportAge() {
        return reportAge;
    }

    /** Returns the number of attempts of this router in flight at all members. */
    int inFlight() {
        int sum = 0;
        for (Endpoint member : members) {
            sum += member.inFlight;
        }
        return sum;
    }
}
