package mintstair.request;

/** The role in its replica set that a host reports for itself. */
public enum ReplicationRole {
    /** The host did not report a role. */
    UNKNOWN,
    /** The host accepts writes. */
    PRIMARY,
    /** The host applies the commits of a primary and serves only reads. */
    REPLICA
}
