package mintstair.front;

/** Why a client's connection ended; the first reason counts. The metrics {@code clients_ended} have these names. */
public enum ClientCloseReason {
    /** The client closed or reset it, or the network did. */
    LEFT,
    /** The client said that it is done. */
    QUIT,
    /** What the client sent broke the protocol, or was not finished in time. */
    PROTOCOL_ERROR,
    /** The client read nothing of what it was sent. */
    NOT_READING,
    /** There were too many clients. */
    NO_ROOM,
    /** It was evicted while idle, as others needed its descriptor. */
    IDLED_OUT,
    /** This process ends. */
    DRAINED,
    /** A long response broke off in its middle. */
    ANSWER_BROKE_OFF
}
