package mintstair.decision;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * The position of each session's last write, where routers remember them. Times and positions are microseconds. Not
 * safe for use by several threads.
 */
final class SessionTokens {
    /** Far longer than a new host's copy is old, or than a lag lasts. */
    private static final long KEPT = 120_000_000;

    private record Token(long position, long heardAt) {}

    /** In the order of their last writes, the oldest first. */
    private final LinkedHashMap<String, Token> tokens = new LinkedHashMap<>();

    /** A write of the session was answered; forgets sessions that have not written for long. */
    void writeAnswered(long now, String session, long position) {
        Token before = tokens.remove(session);
        tokens.put(session, new Token(before == null ? position : Math.max(position, before.position()), now));
        Iterator<Token> oldestFirst = tokens.values().iterator();
        while (oldestFirst.hasNext() && now - oldestFirst.next().heardAt() > KEPT) {
            oldestFirst.remove();
        }
    }

    /** The position that the session's reads must see, or {@link Positions#UNKNOWN}; {@code session} may be null. */
    long positionOf(String session) {
        Token token = session == null ? null : tokens.get(session);
        return token == null ? Positions.UNKNOWN : token.position();
    }
}
