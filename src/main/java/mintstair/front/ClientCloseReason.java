package mintstair.front;

/**
 * The reason why a client connection ended; the first one set is kept. The metrics {@code clients_ended} use these
 * names.
 */
public enum ClientCloseReason {
    /** The client closed or reset the connection, or the network broke it. */
    LEFT,
    /** The client ended the session with a message of its protocol. */
    QUIT,
    /** The client violated the protocol, or did not complete a message in time. */
    PROTOCOL_ERROR,
    /** The client did not read its response within the write timeout. */
    NOT_READING,
    /** The client was rejected because there were too many clients. */
    NO_ROOM,
    /** The client was evicted while idle to free its file descriptor for others. */
    IDLED_OUT,
    /** The proxy is shutting down. */
    DRAINED,
    /** A response was aborted after a part of it had been forwarded. */
    ANSWER_BROKE_OFF
}
