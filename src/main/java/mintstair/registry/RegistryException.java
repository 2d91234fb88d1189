package mintstair.registry;

import java.io.IOException;

/**
 * A call of the registry failed; the message is one line for the operator. The subclasses say what became of the call.
 */
public class RegistryException extends IOException {
    private static final long serialVersionUID = 1L;

    /** The message is one line. */
    public RegistryException(String message) {
        super(message);
    }

    /** The message is one line; the cause may be null. */
    public RegistryException(String message, Throwable cause) {
        super(message, cause);
    }
}
