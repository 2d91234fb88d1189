package mintstair.request;

/** The role that a host reports of itself. */
public enum ReplicationRole {
    /** It reported none. */
    UNKNOWN,
    /** It takes writes. */
    PRIMARY,
    /** It applies the commits of a primary and serves reads only. */
    REPLICA
}
