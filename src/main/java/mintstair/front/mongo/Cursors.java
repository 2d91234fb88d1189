package mintstair.front.mongo;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import mintstair.request.ProxyRequest;

/**
 * The cursors that hosts hold for clients. Each exists on one host and can be continued only there; clients know it by
 * an id of this proxy. Runs on the event loop.
 */
final class Cursors {
    /** The idle timeout of cursors on the hosts. */
    private static final long IDLE_TIMEOUT_MICROS = 600_000_000;

    private static final int MAX_CURSORS = 1000;

    /**
     * One cursor.
     *
     * @param id by which clients know it
     * @param hostId its id on the host
     * @param opened the request that opened it
     */
    record Cursor(
            long id,
            String host,
            long hostId,
            String database,
            String collection,
            ProxyRequest opened,
            long usedAtMicros) {
        private Cursor usedAt(long nowMicros) {
            return new Cursor(id, host, hostId, database, collection, opened, nowMicros);
        }
    }

    /** In the order of their last use. */
    private final Map<Long, Cursor> byId = new LinkedHashMap<>();

    private final Consumer<Cursor> onEvicted;

    /**
     * Makes an empty table.
     *
     * @param onEvicted takes each cursor that is dropped here while its host still holds it
     */
    Cursors(Consumer<Cursor> onEvicted) {
        this.onEvicted = onEvicted;
    }

    /** Registers a cursor that a host has opened; evicts cursors that are too old or too many. */
    Cursor open(String host, long hostId, String database, String collection, ProxyRequest opened, long nowMicros) {
        evict(nowMicros);
        Cursor cursor = new Cursor(newId(), host, hostId, database, collection, opened, nowMicros);
        byId.put(cursor.id, cursor);
        return cursor;
    }

    private void evict(long nowMicros) {
        for (Iterator<Cursor> iterator = byId.values().iterator(); iterator.hasNext(); ) {
            Cursor oldest = iterator.next();
            if (byId.size() < MAX_CURSORS && nowMicros - oldest.usedAtMicros < IDLE_TIMEOUT_MICROS) {
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

    /** Takes a cursor out while it is continued: two getMores at once would both move it. */
    void take(long id) {
        byId.remove(id);
    }

    /** The cursor, or null where there is none of this id. */
    Cursor find(long id) {
        return byId.get(id);
    }

    /** Puts back a cursor that was removed by {@link #take} and can be continued again. */
    void putBack(Cursor cursor, long nowMicros) {
        byId.put(cursor.id, cursor.usedAt(nowMicros));
    }

    /** Drops a cursor, also on its host; false where there is none of this id. */
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
