package mintstair.pcap;

import java.io.IOException;

/** A file that is no capture, or whose rest can't be read as one. Frames read before it was thrown are valid. */
public final class MalformedCaptureException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedCaptureException(String message) {
        super(message);
    }

    MalformedCaptureException(String message, Throwable cause) {
        super(message, cause);
    }
}
