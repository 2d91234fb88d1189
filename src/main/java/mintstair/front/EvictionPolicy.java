package mintstair.front;

/** Chooses which idle client loses its connection where others need it; on the event loop. */
final class EvictionPolicy {
    private EvictionPolicy() {}

    /**
     * The client that loses least: of the lowest {@link EvictionClass}, the one that has been idle for longest. Clients
     * that send a request at once and keep their connection for the next must not be evicted for ones that connect and
     * send nothing.
     *
     * @param newest the client that came last, which is never chosen
     * @param minIdleMicros only clients that have been idle for so long are chosen
     * @param evictActive whether clients of {@link EvictionClass#ACTIVE} may be chosen
     * @return the client, or null where none may be chosen
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

    /** The active client that has been idle for longest, since before this time; null where there is none. */
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

    /** The first client that has not sent a byte and does not end by itself; {@code newest} where there is none. */
    static ClientSession silentOr(Iterable<ClientSession> sessions, ClientSession newest) {
        for (ClientSession session : sessions) {
            boolean silent = session.evictionClass() == EvictionClass.SILENT;
            if (session != newest && silent && !session.isLeaving()) {
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
