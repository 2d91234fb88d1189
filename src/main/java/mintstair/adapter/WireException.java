package mintstair.adapter;

/** The input does not follow the simulator's wire. */
final class WireException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }

    WireException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Fails with this message unless the condition holds. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new WireException(message);
        }
    }
}
