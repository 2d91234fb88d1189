package mintstair.membership.swim;

/** What is known of a member. Of two that are told at the same incarnation the later one here counts. */
public enum MemberState {
    /** It answers, or nobody had reason to doubt it. */
    ALIVE,
    /** Somebody got no answer from it; it may still refute that. */
    SUSPECT,
    /** It did not refute in time: it failed, or is cut off from whoever says so. */
    DEAD,
    /** It said itself that it ends. */
    LEFT
}
