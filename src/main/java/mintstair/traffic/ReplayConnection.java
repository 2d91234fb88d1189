package mintstair.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

/** A connection of a replay; it carries one request at a time. For the replay's thread. */
public final class ReplayConnection {
    private final int number;
    private final Pool pool;

    /** The connections that stand in for one recorded connection: as many as were busy at once. */
    static final class Pool {
        private final Deque<ReplayConnection> idle = new ArrayDeque<>();

        /** Takes the idle connection that was used last, or null. */
        ReplayConnection acquire() {
            return idle.poll();
        }
    }

    ReplayConnection(int number, Pool pool) {
        this.number = number;
        this.pool = pool;
    }

    /** Its number, from 0 in the order in which connections were needed. */
    public int number() {
        return number;
    }

    /** Gives it back to its pool for a further request. */
    void release() {
        pool.idle.push(this);
    }
}
