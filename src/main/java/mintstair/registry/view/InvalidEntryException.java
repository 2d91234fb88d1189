package mintstair.registry.view;

import mintstair.config.FirstLine;

/** Thrown for a registry entry that describes no valid host. The message is one line. */
final class InvalidEntryException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidEntryException(String reason) {
        super(FirstLine.of(reason));
    }

    InvalidEntryException(Exception cause) {
        super(FirstLine.of(cause), cause);
    }
}
