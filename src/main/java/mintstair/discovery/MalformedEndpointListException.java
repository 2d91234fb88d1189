package mintstair.discovery;

import java.io.IOException;
import mintstair.config.FirstLine;

/** Thrown when a response body is not an endpoint list. Its message is a single line, fit for the log. */
final class MalformedEndpointListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(Exception cause) {
        super(FirstLine.of(cause), cause);
    }
}
