package mintstair.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import mintstair.traffic.RecordedExchange.Result;
import mintstair.traffic.ScheduledRequest.State;

/**
 * Decides when each request of a replay is sent, on which connection and with which position token, without I/O.
 * Open-loop: each request has its time by the distances of the recording, and a late response delays nothing but
 * the reads of its own session that follow the write it answers. Where a connection is still busy when its next
 * request is due, a further one is opened. Times are nanoseconds since the replay began, given by the one thread
 * that uses it.
 *
 * <p>A read of a session that follows a write is sent with a token of when that write was answered in the replay:
 * it asks for what its session has really written. Where the write is not answered before the read's deadline, the
 * read is not sent, and ends as {@link State#TOO_LATE}.
 */
public final class ReplaySchedule {
    /** Between copies of one request. */
    private static final long COPY_INTERVAL_NANOS = 250_000;

    private static final Comparator<ScheduledRequest> BY_DUE_TIME =
            Comparator.comparingLong(ScheduledRequest::dueNanos).thenComparingInt(ScheduledRequest::number);

    /** Send this request now, on this connection and with this token. */
    public record Dispatch(ScheduledRequest request, ReplayConnection connection, PositionToken token) {}

    private final ReplayOptions options;
    private final List<ScheduledRequest> requests = new ArrayList<>();
    private final PriorityQueue<ScheduledRequest> waiting = new PriorityQueue<>(BY_DUE_TIME);
    private final Map<Long, ReplayConnection.Pool> poolsByRecordedConnection = new HashMap<>();
    /** Reads whose write was answered since the last call of {@link #due}. */
    private final List<Dispatch> released = new ArrayList<>();

    private final int firstAttempts;
    private int connections;
    /** Requests that were sent and not answered, and reads that wait for a write. */
    private int unfinished;

    private int retries;
    private int retriesRejected;

    /** Plans the exchanges of a recording, in any order. */
    public ReplaySchedule(List<RecordedExchange> recorded, ReplayOptions options) {
        this.options = options;
        plan(recorded);
        firstAttempts = requests.size();
    }

    private void plan(List<RecordedExchange> recorded) {
        List<RecordedExchange> sorted = new ArrayList<>(recorded);
        sorted.sort(Comparator.comparingLong(RecordedExchange::requestNanos));
        if (sorted.isEmpty()) {
            return;
        }
        long firstRequestNanos = sorted.get(0).requestNanos();
        long beginNanos = options.beginNanos(firstRequestNanos);
        Map<String, List<ScheduledRequest>> writesBySession = new HashMap<>();
        for (RecordedExchange exchange : sorted) {
            if (!options.includes(exchange, firstRequestNanos)) {
                continue;
            }
            long dueNanos = (long) ((exchange.requestNanos() - beginNanos) / options.speed());
            for (int copy = 0; copy < options.copies(); copy++) {
                plan(exchange, copy, dueNanos + copy * COPY_INTERVAL_NANOS, writesBySession);
            }
        }
    }

    private void plan(
            RecordedExchange recorded, int copy, long dueNanos, Map<String, List<ScheduledRequest>> writesBySession) {
        String session = recorded.session() == null ? null : recorded.session() + ' ' + copy;
        ScheduledRequest precedingWrite = null;
        if (session != null && !recorded.write()) {
            List<ScheduledRequest> writes = writesBySession.getOrDefault(session, List.of());
            precedingWrite = lastAnsweredBefore(recorded.requestNanos(), writes);
        }
        ScheduledRequest request = add(recorded, copy, false, dueNanos, precedingWrite);
        if (session != null && recorded.write()) {
            writesBySession
                    .computeIfAbsent(session, absent -> new ArrayList<>())
                    .add(request);
        }
    }

    private ScheduledRequest add(
            RecordedExchange recorded, int copy, boolean retry, long dueNanos, ScheduledRequest precedingWrite) {
        ScheduledRequest request =
                new ScheduledRequest(requests.size(), recorded, copy, retry, dueNanos, precedingWrite);
        requests.add(request);
        waiting.add(request);
        return request;
    }

    /** The newest write whose response was recorded before this time, or null. */
    private static ScheduledRequest lastAnsweredBefore(long recordedNanos, List<ScheduledRequest> writes) {
        for (int i = writes.size() - 1; i >= 0; i--) {
            long responseNanos = writes.get(i).recorded().responseNanos();
            if (responseNanos > 0 && responseNanos <= recordedNanos) {
                return writes.get(i);
            }
        }
        return null;
    }

    /** What is to be sent at this time. */
    public List<Dispatch> due(long nowNanos) {
        List<Dispatch> dispatches = new ArrayList<>(released);
        released.clear();
        while (!waiting.isEmpty() && waiting.peek().dueNanos() <= nowNanos) {
            ScheduledRequest request = waiting.remove();
            if (request.state() != State.WAITING) {
                continue;
            }
            ScheduledRequest write = request.precedingWrite();
            if (write == null || write.state() == State.ANSWERED) {
                dispatches.add(dispatch(request, nowNanos));
            } else {
                waitForWrite(request, write, nowNanos);
            }
        }
        return dispatches;
    }

    private void waitForWrite(ScheduledRequest read, ScheduledRequest write, long nowNanos) {
        if (write.state() == State.TOO_LATE || nowNanos >= read.deadlineNanos()) {
            giveUp(read);
            return;
        }
        write.addFollower(read);
        unfinished++;
    }

    private void giveUp(ScheduledRequest request) {
        request.markTooLate();
        for (ScheduledRequest follower : request.removeFollowers()) {
            unfinished--;
            giveUp(follower);
        }
    }

    private Dispatch dispatch(ScheduledRequest request, long nowNanos) {
        ReplayConnection connection = acquireConnection(request);
        request.markSent(nowNanos, connection);
        unfinished++;
        return new Dispatch(request, connection, tokenOf(request));
    }

    private ReplayConnection acquireConnection(ScheduledRequest request) {
        long poolKey = (long) request.recorded().connection() * options.copies() + request.copy();
        ReplayConnection.Pool pool =
                poolsByRecordedConnection.computeIfAbsent(poolKey, absent -> new ReplayConnection.Pool());
        ReplayConnection idle = pool.acquire();
        return idle != null ? idle : new ReplayConnection(connections++, pool);
    }

    private static PositionToken tokenOf(ScheduledRequest request) {
        if (request.recorded().minimumPositionMillis() < 0) {
            return PositionToken.NONE;
        }
        ScheduledRequest write = request.precedingWrite();
        return write == null ? PositionToken.RECORDED : new PositionToken.AfterWrite(write.answeredNanos());
    }

    /**
     * Takes the final response to a request.
     *
     * @param result {@link Result#NONE} where none will come; the connection is not used again then
     * @param retryAfterMillis with a rejection, after which time a retry may be sent
     */
    public void answered(ScheduledRequest request, long nowNanos, Result result, long retryAfterMillis) {
        if (request.state() != State.SENT) {
            return;
        }
        request.markAnswered(nowNanos, result);
        unfinished--;
        if (result != Result.NONE) {
            request.connection().release();
        }
        for (ScheduledRequest follower : request.removeFollowers()) {
            unfinished--;
            if (nowNanos < follower.deadlineNanos()) {
                released.add(dispatch(follower, nowNanos));
            } else {
                giveUp(follower);
            }
        }
        if (options.liveRetries() && result == Result.REFUSED) {
            long delayNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, retryAfterMillis));
            retry(request, nowNanos + delayNanos);
        }
    }

    private void retry(ScheduledRequest request, long dueNanos) {
        boolean withinBudget = retries + 1 <= firstAttempts * options.retryBudget();
        if (!withinBudget || dueNanos >= request.deadlineNanos()) {
            retriesRejected++;
            return;
        }
        retries++;
        add(request.recorded(), request.copy(), true, dueNanos, request.precedingWrite());
    }

    /** When {@link #due} is to be called next, or {@code Long.MAX_VALUE}. */
    public long nextDueNanos() {
        if (!released.isEmpty()) {
            return Long.MIN_VALUE;
        }
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.peek().dueNanos();
    }

    /** Whether all requests were answered or given up. */
    public boolean isFinished() {
        return waiting.isEmpty() && unfinished == 0 && released.isEmpty();
    }

    /** All requests, in the order in which they were planned; retries last. */
    public List<ScheduledRequest> requests() {
        return requests;
    }

    /** How many requests were not sent, as their write had no response in time. */
    public long notSent() {
        return requests.stream()
                .filter(request -> request.state() == State.TOO_LATE)
                .count();
    }

    /** How many connections were needed. */
    public int connections() {
        return connections;
    }

    /** How many retries there were no budget or time for. */
    public int retriesRejected() {
        return retriesRejected;
    }
}
