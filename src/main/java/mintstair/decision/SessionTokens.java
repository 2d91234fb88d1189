package mintstair.decision;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * The replication position of the last write of each session. Times and positions are in microseconds. Not safe for use
 * by several threads.
 */
final class SessionTokens {
    /** How long a token is kept: far longer than a replica lags or the initial data of a new host is old. */
    private static final long RETENTION_MICROS = 120_000_000;

    private record Token(long position, long writtenAt) {}

    /** In the order of the last writes, the oldest first. */
    private final LinkedHashMap<String, Token> tokens = new LinkedHashMap<>();

    /** Records the position of a write that was answered; removes sessions without a recent write. */
    void writeAnswered(long now, String session, long position) {
        Token former = tokens.remove(session);
        tokens.put(session, new Token(former == null ? position : Math.max(position, former.position()), now));
        Iterator<Token> oldestFirst = tokens.values().iterator();
        while (oldestFirst.hasNext() && now - oldestFirst.next().writtenAt() > RETENTION_MICROS) {
            oldestFirst.remove();
        }
    }

    /**
     * Returns the position that reads of the session must see, or {@link Positions#UNKNOWN}; {@code session} may be
     * null.
     */
    long positionOf(String session) {
        Token token = session == null ? null : tokens.get(session);
        return token == null ? Positions.UNKNOWN : token.position();
    }
}
