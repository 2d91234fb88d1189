package mintstair.config;

/** An endpoint list, or an entry of one, that is not in the form of the platform. */
public final class EndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    EndpointListException(String message) {
        super(message);
    }
}
