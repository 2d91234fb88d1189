package mintstair.request;

/** Whether an attempt may begin at a host at this moment, and if not, why; {@code AttemptRules} in the decision package gives it. */
public enum AttemptVerdict {
    /** It may be written. */
    MAY_BEGIN,
    /** Its request has had its final answer, or was given up. */
    REQUEST_OVER,
    /** Its client has closed its connection. */
    CLIENT_GONE,
    /** Its client's time, or what the decision allowed the attempt, is over. */
    DEADLINE_PASSED,
    /** What the decision rested on holds no longer: how recent a replica is, or the time in which hosts drop repeats. */
    DECISION_EXPIRED,
    /** Its host is listed as draining. */
    HOST_DRAINING
}
