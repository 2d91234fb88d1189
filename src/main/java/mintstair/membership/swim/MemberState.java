package mintstair.membership.swim;

/** State of a member. Of two updates with the same incarnation, the one with the later constant takes precedence. */
public enum MemberState {
    /** It answers probes, or no failed probe has been reported. */
    ALIVE,
    /** A probe of it has failed; it may still refute the suspicion. */
    SUSPECT,
    /** It has not refuted the suspicion in time: it has crashed, or is partitioned from the reporter. */
    DEAD,
    /** It has announced its shutdown. */
    LEFT
}
