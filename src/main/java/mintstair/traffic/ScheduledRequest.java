package mintstair.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mintstair.traffic.RecordedExchange.Result;

/**
 * One request of a replay, and what came of it. Times are nanoseconds since the replay began. Changed by {@link
 * ReplaySchedule} alone, on the replay's thread.
 */
public final class ScheduledRequest {
    /** Where a request is on its way. */
    public enum State {
        /** It is not due, or waits for the response to the write that it follows. */
        WAITING,
        /** It was sent and has no response. */
        SENT,
        /** Its response came, or its connection ended without one. */
        ANSWERED,
        /** It was not sent, as the write that it follows had no response in time. */
        TOO_LATE
    }

    private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;

    private final int number;
    private final RecordedExchange recorded;
    private final int copy;
    private final boolean retry;
    private final long dueNanos;
    private final ScheduledRequest precedingWrite;
    private final List<ScheduledRequest> followers = new ArrayList<>(0);
    private State state = State.WAITING;
    private Result result = Result.NONE;
    private long sentNanos = -1;
    private long answeredNanos = -1;
    private ReplayConnection connection;

    ScheduledRequest(
            int number,
            RecordedExchange recorded,
            int copy,
            boolean retry,
            long dueNanos,
            ScheduledRequest precedingWrite) {
        this.number = number;
        this.recorded = recorded;
        this.copy = copy;
        this.retry = retry;
        this.dueNanos = dueNanos;
        this.precedingWrite = precedingWrite;
    }

    /** Its number within the replay. */
    public int number() {
        return number;
    }

    /** What was recorded of it. */
    public RecordedExchange recorded() {
        return recorded;
    }

    /** Which of the copies it is, from 0; sessions are renamed by it. */
    public int copy() {
        return copy;
    }

    /** Whether it is a retry that the replay itself makes. */
    public boolean isRetry() {
        return retry;
    }

    /** When it is to be sent. */
    public long dueNanos() {
        return dueNanos;
    }

    /** Where it is on its way. */
    public State state() {
        return state;
    }

    /** What came of it. */
    public Result result() {
        return result;
    }

    /** When it was sent, -1 for not yet. */
    public long sentNanos() {
        return sentNanos;
    }

    /** When its response came, -1 for not yet. */
    long answeredNanos() {
        return answeredNanos;
    }

    /** The write of its session whose response it waits for, or null. */
    ScheduledRequest precedingWrite() {
        return precedingWrite;
    }

    ReplayConnection connection() {
        return connection;
    }

    /** When its client would have given up. */
    long deadlineNanos() {
        long timeoutMillis = recorded.timeoutMillis() > 0 ? recorded.timeoutMillis() : DEFAULT_TIMEOUT_MILLIS;
        return dueNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    /** Adds a read that waits for the response to this write. */
    void addFollower(ScheduledRequest read) {
        followers.add(read);
    }

    /** Removes and returns the reads that wait. */
    List<ScheduledRequest> removeFollowers() {
        List<ScheduledRequest> removed = List.copyOf(followers);
        followers.clear();
        return removed;
    }

    void markSent(long nowNanos, ReplayConnection on) {
        state = State.SENT;
        sentNanos = nowNanos;
        connection = on;
    }

    void markAnswered(long nowNanos, Result finalResult) {
        state = State.ANSWERED;
        answeredNanos = nowNanos;
        result = finalResult;
    }

    void markTooLate() {
        state = State.TOO_LATE;
    }
}
