package mintstair.front.mongo;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import mintstair.request.ProxyRequest;

/** The cursors that hosts hold for clients; each lives on one host and can be read on only there. */
final class Cursors {
    /** As hosts do by themselves. */
    private static final long IDLE = 600_000_000;

    private static final int MOST = 1000;

    /** One cursor: the host and its own id there, and the request that opened it. */
    record Cursor(
            long id, String host, long hostId, String database, String collection, ProxyRequest opened, long usedAt) {}

    private final Map<Long, Cursor> byId = new LinkedHashMap<>();
    private final Consumer<Cursor> free;

    /** {@code free} is told of cursors that are dropped while their hosts still hold them. */
    Cursors(Consumer<Cursor> free) {
        this.free = free;
    }

    Cursor open(String host, long hostId, String database, String collection, ProxyRequest opened, long now) {
        for (Iterator<Cursor> i = byId.values().iterator(); i.hasNext(); ) {
            Cursor oldest = i.next();
            if (byId.size() < MOST && now - oldest.usedAt < IDLE) {
                break;
            }
            i.remove();
            free.accept(oldest);
        }
        long id = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        while (byId.containsKey(id)) {
            id = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        }
        Cursor cursor = new Cursor(id, host, hostId, database, collection, opened, now);
        byId.put(id, cursor);
        return cursor;
    }

    /** The cursor, taken out while it is read on: two getMores at once would both move it. */
    Cursor take(long id) {
        return byId.remove(id);
    }

    Cursor find(long id) {
        return byId.get(id);
    }

    /** Puts a cursor back that can be read on. */
    void keep(Cursor c, long now) {
        byId.put(c.id, new Cursor(c.id, c.host, c.hostId, c.database, c.collection, c.opened, now));
    }

    /** Drops a cursor and has its host free it. */
    boolean kill(long id) {
        Cursor cursor = byId.remove(id);
        if (cursor != null) {
            free.accept(cursor);
        }
        return cursor != null;
    }

    int size() {
        return byId.size();
    }
}
