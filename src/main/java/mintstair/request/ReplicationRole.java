package mintstair.request;

/** What an answer tells of its host's role. */
public enum ReplicationRole {
    UNKNOWN,
    PRIMARY,
    REPLICA
}
