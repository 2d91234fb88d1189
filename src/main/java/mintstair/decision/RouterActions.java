package mintstair.decision;

/** The actions. */
public interface RouterActions {
    /**
     * Starts an attempt, given up at {@code abandonAt} (0: when the client does), and not begun later
     * than {@code beginBy}, until when what it rests on holds ({@link Long#MAX_VALUE}: for ever).
     */
    void send(long id, String host, long abandonAt, long beginBy);

    /** Stops waiting for one attempt. */
    void cancel(long id, int attempt);

    /** Final answer: refused, a further try is harmless, best after {@code retryAfterMicros} (0: no advice). */
    void reject(long id, long retryAfterMicros);

    /** Final answer: failed, nothing promised. */
    void fail(long id);

    /** Asks a host for its report. */
    void checkHealth(String host);

    /** Asks for {@link Router#onTimer} after this long. */
    void startTimer(String name, long delayMicros);

    /** Asks the list for changes from here on. */
    void subscribe();

    /** Sends a short message to every other router. */
    void broadcast(String text);

    /** A line for the people on call. */
    void log(String text);
}
