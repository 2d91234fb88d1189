package mintstair.membership.swim;

/** Result of a connection check of a member's address. */
public enum ConnectionCheckResult {
    /** The member answered with its name. */
    ANSWERED,
    /**
     * The member's process has ended: the connection was refused or closed without an answer, or another process
     * answered.
     */
    PROCESS_GONE,
    /** No answer arrived in time: the process may be stopped, its machine down or the network partitioned. */
    UNRESPONSIVE
}
