package mintstair.wire;

/** Bytes that break a protocol. The message is meant for the other end of the connection. */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message says which rule of the protocol was broken. */
    public ProtocolException(String message) {
        super(message);
    }

    /** Keeps what the reading of the message failed with. */
    public ProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
