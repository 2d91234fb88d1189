package mintstair.config;

/** Thrown if an endpoint list, or an entry of one, is not in the platform's format. */
public final class EndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    EndpointListException(String message) {
        super(message);
    }
}
