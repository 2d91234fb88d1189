package mintstair.registry;

import java.io.IOException;

/** A snapshot file that is torn, of another format, or of another prefix; the message is one line. */
final class InvalidSnapshotException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidSnapshotException(String message) {
        super(message);
    }

    InvalidSnapshotException(String message, Throwable cause) {
        super(message, cause);
    }
}
