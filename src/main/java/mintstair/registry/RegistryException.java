package mintstair.registry;

import java.io.IOException;

/**
 * Signals that a call to the registry failed. The message is one line for the operator. The subclasses tell whether a
 * change may have been made.
 */
public class RegistryException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message of one line. */
    public RegistryException(String message) {
        super(message);
    }

    /** Creates the exception with a message of one line; the cause may be null. */
    public RegistryException(String message, Throwable cause) {
        super(message, cause);
    }
}
