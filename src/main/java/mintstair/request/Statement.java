package mintstair.request;

/** What a client asked for, in the words of its own protocol; only a backend of that protocol reads it. */
public interface Statement {
    /** The bytes for a host, saying how long the proxy will wait. */
    byte[] encode(long waitMillis);
}
