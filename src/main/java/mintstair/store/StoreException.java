package mintstair.store;

import java.io.IOException;

/** The store did not carry out an operation. */
public class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line and the cause, which Ratis reported. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
