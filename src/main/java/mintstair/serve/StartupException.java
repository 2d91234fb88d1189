package mintstair.serve;

import java.io.IOException;

/** Thrown if a part of the proxy cannot be started. The message is one line, which the program prints when it exits. */
public final class StartupException extends IOException {
    private static final long serialVersionUID = 1L;

    StartupException(String message) {
        super(message);
    }

    StartupException(String message, Throwable cause) {
        super(message, cause);
    }
}
