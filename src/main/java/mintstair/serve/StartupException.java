package mintstair.serve;

import java.io.IOException;

/** A part of the proxy cannot be started; the message is the one line that the program ends with. */
public final class StartupException extends IOException {
    private static final long serialVersionUID = 1L;

    StartupException(String message) {
        super(message);
    }

    StartupException(String message, Throwable cause) {
        super(message, cause);
    }
}
