package mintstair.request;

/** What a client asked for, in the words of its own protocol; only a backend of that protocol can read it. */
public interface Statement {
    /** Encodes it for a host, with {@code timeoutMillis} as the time that the host may take. */
    byte[] encode(long timeoutMillis);
}
