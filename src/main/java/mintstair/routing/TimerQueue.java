package mintstair.routing;

import java.util.PriorityQueue;

/**
 * The timers that the decision module has started, by the time at which they are due. It runs no thread: whoever owns
 * it asks for {@link #nextDueMicros} and polls then. Times are microseconds. Not safe for use by several threads.
 */
final class TimerQueue {
    /** Stands for the due time of an empty queue. */
    static final long NEVER = Long.MAX_VALUE;

    private record Timer(long dueMicros, long sequence, String name) implements Comparable<Timer> {
        /** Timers that are due at the same time fire in the order in which they were started. */
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

    /** Sets the time from which the delays of timers count. */
    void advanceTo(long nowMicros) {
        this.nowMicros = nowMicros;
    }

    /** Adds a timer that is due in {@code delayMicros}; one of the same name that runs already stays. */
    void start(String name, long delayMicros) {
        timers.add(new Timer(nowMicros + delayMicros, nextSequence++, name));
    }

    /** Removes the first timer that is due by now and returns its name; null where none is due. */
    String pollDue() {
        Timer first = timers.peek();
        if (first == null || first.dueMicros > nowMicros) {
            return null;
        }
        return timers.poll().name;
    }

    /** When the first timer is due, or {@link #NEVER}. */
    long nextDueMicros() {
        Timer first = timers.peek();
        return first == null ? NEVER : first.dueMicros;
    }
}
