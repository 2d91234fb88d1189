package mintstair.front;

/** Why a client's connection ended; the first reason counts. */
public enum ClientCloseReason {
    /** The client closed or reset it, or the network did. */
    LEFT,
    /** The client said that it is done. */
    QUIT,
    /** What the client sent broke the protocol, or was not finished in time. */
    PROTOCOL_ERROR,
    /** The client took nothing of what it was sent. */
    NOT_READING,
    /** There was no room for it. */
    NO_ROOM,
    /** It had nothing open while others needed its descriptor. */
    IDLED_OUT,
    /** This process ends. */
    DRAINED,
    /** A long answer broke off in its middle. */
    ANSWER_BROKE_OFF
}
