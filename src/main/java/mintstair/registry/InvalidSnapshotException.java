package mintstair.registry;

import java.io.IOException;

/** Signals that a snapshot file is damaged, or of another format or prefix. The message is one line. */
final class InvalidSnapshotException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidSnapshotException(String message) {
        super(message);
    }

    InvalidSnapshotException(String message, Throwable cause) {
        super(message, cause);
    }
}
