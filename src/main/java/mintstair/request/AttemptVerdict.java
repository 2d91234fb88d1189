package mintstair.request;

/**
 * States whether an attempt may be written to its host at this moment and, if not, why. {@code AttemptRules} in the
 * decision package computes it. The names of the constants are part of metric names.
 */
public enum AttemptVerdict {
    /** The attempt may be written. */
    MAY_BEGIN,
    /** The request has already received its final response, or was abandoned. */
    REQUEST_OVER,
    /** The client has closed its connection. */
    CLIENT_GONE,
    /** The client's deadline has passed, or the time limit that the router set for the attempt. */
    DEADLINE_PASSED,
    /**
     * The routing decision has expired: the replication position or the deduplication window that it relied on is no
     * longer valid.
     */
    DECISION_EXPIRED,
    /** The host is listed as draining. */
    HOST_DRAINING
}
