package mintstair.wire;

/** Thrown for bytes that violate a protocol. The message is intended for the peer of the connection. */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that describes the violation. */
    public ProtocolException(String message) {
        super(message);
    }

    /** Creates an exception with a message that describes the violation, and the cause that revealed it. */
    public ProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
