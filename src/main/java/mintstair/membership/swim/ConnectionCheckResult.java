package mintstair.membership.swim;

/** Result of a connection to a member's address. */
public enum ConnectionCheckResult {
    /** The member itself answered. */
    ANSWERED,
    /** The connection was refused or closed without an answer, or another process answered: the process is gone. */
    PROCESS_GONE,
    /** Nothing came in time: the process may be stopped, its machine lost or the network partitioned. */
    UNRESPONSIVE
}
