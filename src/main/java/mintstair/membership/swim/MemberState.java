package mintstair.membership.swim;

/** State of a member. Of two updates with the same incarnation, the one with the later constant here wins. */
public enum MemberState {
    /** It answers probes, or nobody has reported a failed probe. */
    ALIVE,
    /** A probe of it failed; it may still refute the suspicion. */
    SUSPECT,
    /** It did not refute the suspicion in time: it crashed, or a partition separates it from the reporter. */
    DEAD,
    /** It announced that it shuts down. */
    LEFT
}
