package mintstair.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * When each request of a replay is sent, on which connection and with what token, without I/O. Open-loop: each request has its time
 * by the recording's distances, and a late answer holds up nothing but the reads of its own session that follow the write it answers.
 * A connection that is still busy then is left alone, and a further one opened. All times are nanoseconds since the replay began,
 * handed in by the one thread that uses it.
 *
 * <p>A read of a session that follows a write is sent with a token of when that write was answered in the replay: it asks for what
 * its session has really written. Where the write never was answered in time for the read to be of use, the read is not sent, and
 * that is told.
 */
public final class ReplaySchedule {
    private static final long MILLI = 1_000_000;
    private static final long STAGGER = 250_000;
    private static final long USUAL_DEADLINE = 5_000 * MILLI;

    /** What became of a request of the schedule. */
    public enum Fate {
        WAITING,
        SENT,
        ANSWERED,
        TOO_LATE
    }

    /** One request to be sent. */
    public static final class Planned {
        public final int number;
        public final RecordedExchange recorded;
        /** Which of the times it is played, from 0; sessions are renamed by it. */
        public final int copy;
        /** Whether it is a retry made by the replay itself. */
        public final boolean retry;
        /** When it is due, and when it was sent, -1 for not yet. */
        public final long due;

        public long sent = -1;
        public Fate fate = Fate.WAITING;
        public RecordedExchange.Result result = RecordedExchange.Result.NONE;
        Planned follows;
        long answeredAt = -1;
        private List<Planned> followers;
        Lane lane;

        Planned(int number, RecordedExchange recorded, int copy, boolean retry, long due) {
            this.number = number;
            this.recorded = recorded;
            this.copy = copy;
            this.retry = retry;
            this.due = due;
        }

        private long giveUpAt() {
            return due + (recorded.deadlineMillis() > 0 ? recorded.deadlineMillis() * MILLI : USUAL_DEADLINE);
        }
    }

    /** A connection of the replay: the recorded one's, or a further one while that is busy. */
    public static final class Lane {
        public final int number;
        private final Family family;

        Lane(int number, Family family) {
            this.number = number;
            this.family = family;
        }
    }

    /** The connections that stand in for one recorded connection. */
    private static final class Family {
        final List<Lane> lanes = new ArrayList<>();
        final ArrayDeque<Lane> idle = new ArrayDeque<>();
    }

    /** Send this now, on this connection; {@code afterNanos} since the replay began is the token, or -1 for none, -2 for the recorded one moved on. */
    public record Send(Planned request, Lane lane, long afterNanos) {
        public static final long NO_TOKEN = -1;
        public static final long MOVED_ON = -2;
    }

    private final ReplayOptions options;
    private final List<Planned> all = new ArrayList<>();
    private final PriorityQueue<Planned> waiting =
            new PriorityQueue<>(Comparator.<Planned>comparingLong(p -> p.due).thenComparingInt(p -> p.number));
    private final Map<Long, Family> families = new HashMap<>();
    private final List<Send> freed = new ArrayList<>();
    private int lanes;
    private int open;
    private int retries;
    private int firstTries;
    private int retriesRefused;

    /** Plans the exchanges, in any order. */
    public ReplaySchedule(List<RecordedExchange> recorded, ReplayOptions options) {
        this.options = options;
        List<RecordedExchange> sorted = new ArrayList<>(recorded);
        sorted.sort(Comparator.comparingLong(RecordedExchange::asked));
        if (sorted.isEmpty()) {
            return;
        }
        long first = sorted.get(0).asked();
        long begin = first + (long) (options.from() * 1e9);
        Map<String, List<Planned>> writes = new HashMap<>();
        for (RecordedExchange e : sorted) {
            if (!options.takes(e, first)) {
                continue;
            }
            long due = (long) ((e.asked() - begin) / options.speed());
            for (int copy = 0; copy < options.times(); copy++) {
                Planned p = new Planned(all.size(), e, copy, false, due + copy * STAGGER);
                String session = e.session() == null ? null : e.session() + ' ' + copy;
                if (session != null && !e.write()) {
                    p.follows = lastAnswered(writes.get(session), e.asked());
                } else if (session != null) {
                    writes.computeIfAbsent(session, s -> new ArrayList<>()).add(p);
                }
                all.add(p);
                waiting.add(p);
            }
        }
        firstTries = all.size();
    }

    /** The session's newest write whose answer came before this time. */
    private static Planned lastAnswered(List<Planned> writes, long asked) {
        for (int i = writes == null ? -1 : writes.size() - 1; i >= 0; i--) {
            RecordedExchange w = writes.get(i).recorded;
            if (w.answered() > 0 && w.answered() <= asked) {
                return writes.get(i);
            }
        }
        return null;
    }

    /** What is to be sent at this time. */
    public List<Send> due(long now) {
        List<Send> sends = new ArrayList<>(freed);
        freed.clear();
        while (!waiting.isEmpty() && waiting.peek().due <= now) {
            Planned p = waiting.poll();
            if (p.fate != Fate.WAITING) {
                continue;
            }
            if (p.follows != null && p.follows.fate != Fate.ANSWERED) {
                hold(p, now);
            } else {
                sends.add(send(p, now));
            }
        }
        return sends;
    }

    /** It is sent with the answer that it waits for, or not at all. */
    private void hold(Planned p, long now) {
        if (p.follows.fate == Fate.TOO_LATE || now >= p.giveUpAt()) {
            tooLate(p);
            return;
        }
        if (p.follows.followers == null) {
            p.follows.followers = new ArrayList<>();
        }
        p.follows.followers.add(p);
        open++;
    }

    private void tooLate(Planned p) {
        p.fate = Fate.TOO_LATE;
        if (p.followers != null) {
            for (Planned follower : p.followers) {
                open--;
                tooLate(follower);
            }
            p.followers = null;
        }
    }

    private Send send(Planned p, long now) {
        Family family =
                families.computeIfAbsent((long) p.recorded.connection() * options.times() + p.copy, f -> new Family());
        Lane lane = family.idle.poll();
        if (lane == null) {
            lane = new Lane(lanes++, family);
            family.lanes.add(lane);
        }
        p.lane = lane;
        p.sent = now;
        p.fate = Fate.SENT;
        open++;
        return new Send(
                p,
                lane,
                p.recorded.afterMillis() < 0
                        ? Send.NO_TOKEN
                        : p.follows == null ? Send.MOVED_ON : p.follows.answeredAt);
    }

    /** The final answer to a request, or {@link RecordedExchange.Result#NONE} where none will come. */
    public void answered(Planned p, long now, RecordedExchange.Result result, long retryAfterMillis) {
        if (p.fate != Fate.SENT) {
            return;
        }
        p.fate = Fate.ANSWERED;
        p.result = result;
        p.answeredAt = now;
        open--;
        if (result != RecordedExchange.Result.NONE) {
            p.lane.family.idle.push(p.lane);
        }
        List<Planned> followers = p.followers == null ? List.of() : p.followers;
        p.followers = null;
        for (Planned follower : followers) {
            open--;
            if (now < follower.giveUpAt()) {
                freed.add(send(follower, now));
            } else {
                tooLate(follower);
            }
        }
        if (options.liveRetries() && result == RecordedExchange.Result.REFUSED) {
            retry(p, now + Math.max(0, retryAfterMillis) * MILLI);
        }
    }

    private void retry(Planned p, long at) {
        if (retries + 1 > firstTries * options.retryBudget() || at >= p.giveUpAt()) {
            retriesRefused++;
            return;
        }
        retries++;
        Planned again = new Planned(all.size(), p.recorded, p.copy, true, at);
        again.follows = p.follows;
        all.add(again);
        waiting.add(again);
    }

    /** When something is due next, or {@code Long.MAX_VALUE}. */
    public long wakeAt() {
        return !freed.isEmpty() ? Long.MIN_VALUE : waiting.isEmpty() ? Long.MAX_VALUE : waiting.peek().due;
    }

    /** Whether all has been sent and answered, or given up. */
    public boolean isOver() {
        return waiting.isEmpty() && open == 0 && freed.isEmpty();
    }

    /** All requests, in the order in which they were planned; retries last. */
    public List<Planned> all() {
        return all;
    }

    /** How many connections were needed. */
    public int lanes() {
        return lanes;
    }

    /** How many retries there were no budget or time for. */
    public int retriesRefused() {
        return retriesRefused;
    }
}
