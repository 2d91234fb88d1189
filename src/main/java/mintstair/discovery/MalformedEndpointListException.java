package mintstair.discovery;

import java.io.IOException;
import mintstair.config.FirstLine;

/** A response body that holds no endpoint list; the message is one line. */
final class MalformedEndpointListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(Exception cause) {
        super(FirstLine.of(cause), cause);
    }
}
