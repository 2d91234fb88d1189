package mintstair.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * One primary and its replicas, as far as known, and the requests that wait for one of them. State without decisions;
 * not safe for use by several threads.
 */
final class ReplicaSet {
    /** Assumed age of reports, in microseconds, until a primary's own have shown how old they come. */
    private static final long INITIAL_REPORT_AGE = 300_000;

    private static final double REPORT_AGE_DECAY = 0.95;

    final int number;
    final List<Endpoint> members = new ArrayList<>();
    final ArrayDeque<InFlightRequest> pending = new ArrayDeque<>();
    /** What this router's clients ask of the set. */
    final ReplicaSetDemand demand = new ReplicaSetDemand();
    /** The limit of each replica. */
    final ConcurrencyLimit replicaLimit;
    /** The believed primary; null where none is known. */
    Endpoint primary;
    /** The time of the newest evidence for the primary. */
    long primaryEvidenceAt = Positions.UNKNOWN;
    /** The newest position known of any member. */
    long newestPosition;
    /** When the primary was last looked for, and how often in a row. */
    long lastPrimarySearchAt = Endpoint.NEVER;

    int consecutivePrimarySearches;
    /** How old reports are when they arrive, in microseconds. */
    private long reportAge = INITIAL_REPORT_AGE;
    /** Part of its reads for which no replica was recent enough. */
    final FallbackRate fallbackRate = new FallbackRate();

    ReplicaSet(int number, ConcurrencyLimit replicaLimit) {
        this.number = number;
        this.replicaLimit = replicaLimit;
    }

    /** Whether requests can be sent to a primary now. */
    boolean hasUsablePrimary() {
        return primary != null && primary.isServing() && !primary.liveness.isUnresponsive();
    }

    /** Whether a read can go to a replica, if one is recent enough. */
    boolean hasUsableReplica() {
        for (Endpoint member : members) {
            if (member != primary && member.isServing() && !member.liveness.isUnresponsive()) {
                return true;
            }
        }
        return false;
    }

    /** Forgets a member that is gone or belongs to another replica set. */
    void remove(Endpoint endpoint) {
        members.remove(endpoint);
        if (primary == endpoint) {
            primary = null;
        }
    }

    /** A report of the primary was this old when it arrived. */
    void recordReportAge(long age) {
        reportAge = Math.max(age, (long) (reportAge * REPORT_AGE_DECAY));
    }

    /** How old reports are when they arrive, in microseconds. */
    long reportAge() {
        return reportAge;
    }

    /** The number of attempts of this router in flight at all members. */
    int inFlight() {
        int sum = 0;
        for (Endpoint member : members) {
            sum += member.inFlight;
        }
        return sum;
    }
}
