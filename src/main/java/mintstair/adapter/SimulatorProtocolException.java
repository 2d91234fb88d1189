package mintstair.adapter;

/** Thrown when the input violates the simulator's protocol. */
final class SimulatorProtocolException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }

    SimulatorProtocolException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Throws an exception with this message unless the condition holds. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new SimulatorProtocolException(message);
        }
    }
}
