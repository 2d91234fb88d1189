package mintstair.store;

import java.io.IOException;

/** Thrown if the store could not complete an operation. */
public class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line and the exception that Ratis threw. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
