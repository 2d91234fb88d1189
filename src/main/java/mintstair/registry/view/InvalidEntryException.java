package mintstair.registry.view;

/** An entry of the registry that holds no valid host; the message is one line. */
final class InvalidEntryException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidEntryException(String reason) {
        super(firstLine(reason));
    }

    InvalidEntryException(Exception cause) {
        super(firstLine(cause.getMessage()), cause);
    }

    private static String firstLine(String text) {
        return String.valueOf(text).split("\n")[0];
    }
}
