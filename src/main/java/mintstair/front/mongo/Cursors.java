package mintstair.front.mongo;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import mintstair.request.ProxyRequest;

/**
 * The cursors that hosts hold open for clients. Each exists on one host and can be continued only there; clients
 * identify it by an id that the proxy assigns. Runs on the event loop.
 */
final class Cursors {
    /** The idle timeout of cursors on the hosts. */
    private static final long IDLE_TIMEOUT_MICROS = 600_000_000;

    private static final int MAX_CURSORS = 1000;

    /**
     * One cursor.
     *
     * @param id the id that clients use
     * @param hostId the id of the cursor on its host
     * @param openingRequest the request that opened the cursor
     */
    record Cursor(
            long id,
            String host,
            long hostId,
            String database,
            String collection,
            ProxyRequest openingRequest,
            long lastUsedAtMicros) {
        private Cursor withLastUse(long nowMicros) {
            return new Cursor(id, host, hostId, database, collection, openingRequest, nowMicros);
        }
    }

    /** Ordered by last use, the least recently used first. */
    private final Map<Long, Cursor> byId = new LinkedHashMap<>();

    private final Consumer<Cursor> onEvicted;

    /**
     * Creates an empty table.
     *
     * @param onEvicted receives each cursor that is removed here while its host still holds it
     */
    Cursors(Consumer<Cursor> onEvicted) {
        this.onEvicted = onEvicted;
    }

    /** Registers a cursor that a host has opened; evicts idle cursors, and the oldest ones above the limit. */
    Cursor register(
            String host, long hostId, String database, String collection, ProxyRequest openingRequest, long nowMicros) {
        evict(nowMicros);
        Cursor cursor = new Cursor(newId(), host, hostId, database, collection, openingRequest, nowMicros);
        byId.put(cursor.id, cursor);
        return cursor;
    }

    private void evict(long nowMicros) {
        for (Iterator<Cursor> iterator = byId.values().iterator(); iterator.hasNext(); ) {
            Cursor oldest = iterator.next();
            if (byId.size() < MAX_CURSORS && nowMicros - oldest.lastUsedAtMicros < IDLE_TIMEOUT_MICROS) {
                return;
            }
            iterator.remove();
            onEvicted.accept(oldest);
        }
    }

    private long newId() {
        long id = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        while (byId.containsKey(id)) {
            id = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        }
        return id;
    }

    /** Removes a cursor while it is continued, as two concurrent getMore commands would both advance it. */
    void checkOut(long id) {
        byId.remove(id);
    }

    /** Returns the cursor, or null if the id is unknown. */
    Cursor find(long id) {
        return byId.get(id);
    }

    /** Adds a cursor again that was removed by {@link #checkOut} and can be continued. */
    void checkIn(Cursor cursor, long nowMicros) {
        byId.put(cursor.id, cursor.withLastUse(nowMicros));
    }

    /** Removes a cursor and kills it on its host; returns false if the id is unknown. */
    boolean kill(long id) {
        Cursor cursor = byId.remove(id);
        if (cursor == null) {
            return false;
        }
        onEvicted.accept(cursor);
        return true;
    }

    int size() {
        return byId.size();
    }
}
