package mintstair.adapter;

/** What came in does not follow the wire. */
final class WireException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
