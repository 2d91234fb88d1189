package mintstair.front;

/** Chooses the idle client to evict when connections run short. Runs on the event loop. */
final class EvictionPolicy {
    private EvictionPolicy() {}

    /**
     * Returns the client that loses least by its eviction: the longest idle one of the lowest {@link EvictionClass}.
     * Clients that send requests and reuse their connection must not be evicted in favor of clients that connect and
     * send nothing.
     *
     * @param newest the most recent client, which is never chosen
     * @param minIdleMicros the idle time from which on a client may be chosen
     * @param evictActive whether clients of {@link EvictionClass#ACTIVE} may be chosen
     * @return the client, or null if none may be chosen
     */
    static ClientSession leastValuable(
            Iterable<ClientSession> sessions,
            ClientSession newest,
            long nowMicros,
            long minIdleMicros,
            boolean evictActive) {
        ClientSession chosen = null;
        for (ClientSession session : sessions) {
            boolean idle = session != newest && nowMicros - session.idleSinceMicros() >= minIdleMicros;
            boolean evictable = idle && (evictActive || !isActive(session));
            if (evictable && (chosen == null || isEvictedBefore(session, chosen))) {
                chosen = session;
            }
        }
        return chosen;
    }

    /** Returns the longest idle active client among those idle since this time or earlier; null if there is none. */
    static ClientSession idlestActive(Iterable<ClientSession> sessions, long idleSinceBeforeMicros) {
        ClientSession idlest = null;
        for (ClientSession session : sessions) {
            boolean evictable = isActive(session) && session.idleSinceMicros() <= idleSinceBeforeMicros;
            if (evictable && (idlest == null || session.idleSinceMicros() < idlest.idleSinceMicros())) {
                idlest = session;
            }
        }
        return idlest;
    }

    /** Returns the first other client that has sent no byte and is not closing, or {@code newest} if there is none. */
    static ClientSession silentClientOr(Iterable<ClientSession> sessions, ClientSession newest) {
        for (ClientSession session : sessions) {
            boolean silent = session.evictionClass() == EvictionClass.SILENT;
            if (session != newest && silent && !session.isClosing()) {
                return session;
            }
        }
        return newest;
    }

    private static boolean isActive(ClientSession session) {
        return session.evictionClass() == EvictionClass.ACTIVE;
    }

    private static boolean isEvictedBefore(ClientSession session, ClientSession other) {
        int byClass = session.evictionClass().compareTo(other.evictionClass());
        return byClass != 0 ? byClass < 0 : session.idleSinceMicros() < other.idleSinceMicros();
    }
}
