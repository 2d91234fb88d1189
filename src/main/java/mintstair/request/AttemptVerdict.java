package mintstair.request;

/**
 * Whether an attempt may begin at a host at this moment, and if not, why. {@code AttemptRules} of the decision package
 * decides it. The names of the constants are part of metric names.
 */
public enum AttemptVerdict {
    /** It may be written. */
    MAY_BEGIN,
    /** Its request has had its final answer, or was abandoned. */
    REQUEST_OVER,
    /** Its client has closed its connection. */
    CLIENT_GONE,
    /** The deadline of its client has passed, or the time that the decision allowed for the attempt. */
    DEADLINE_PASSED,
    /**
     * The decision is too old: the replica's position, or the deduplication window that it relied on, no longer holds.
     */
    DECISION_EXPIRED,
    /** Its host is listed as draining. */
    HOST_DRAINING
}
