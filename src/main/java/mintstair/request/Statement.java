package mintstair.request;

/** The operation that a client requested, in the client's protocol. Only a backend of that protocol can decode it. */
public interface Statement {
    /** Encodes the statement for a host, with {@code timeoutMillis} as the host's execution time limit. */
    byte[] encode(long timeoutMillis);
}
