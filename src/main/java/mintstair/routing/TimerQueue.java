package mintstair.routing;

import java.util.PriorityQueue;

/**
 * The timers that the decision module has started, ordered by due time. The queue has no thread of its own: its owner
 * polls it at the time that {@link #nextDueMicros} returns. Times are microseconds. Not thread-safe.
 */
final class TimerQueue {
    /** The due time of an empty queue. */
    static final long NEVER = Long.MAX_VALUE;

    private record Timer(long dueMicros, long sequence, String name) implements Comparable<Timer> {
        /** Orders timers by due time, and those with the same due time by the order in which they were started. */
        @Override
        public int compareTo(Timer other) {
            return dueMicros != other.dueMicros
                    ? Long.compare(dueMicros, other.dueMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long nowMicros;
    private long nextSequence;

    TimerQueue(long nowMicros) {
        this.nowMicros = nowMicros;
    }

    /** Sets the current time, from which the delays of new timers count. */
    void advanceTo(long nowMicros) {
        this.nowMicros = nowMicros;
    }

    /** Adds a timer that is due after {@code delayMicros}. It does not replace other timers of the same name. */
    void start(String name, long delayMicros) {
        timers.add(new Timer(nowMicros + delayMicros, nextSequence++, name));
    }

    /** Removes the first timer that is due and returns its name, or null if none is due. */
    String pollDue() {
        Timer first = timers.peek();
        if (first == null || first.dueMicros > nowMicros) {
            return null;
        }
        return timers.poll().name;
    }

    /** Returns the time at which the first timer is due, or {@link #NEVER} if there are no timers. */
    long nextDueMicros() {
        Timer first = timers.peek();
        return first == null ? NEVER : first.dueMicros;
    }
}
