package mintstair.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks at run time that what was written to hosts and answered to clients keeps the rules. It decides nothing and
 * shares no state with what decides: it sees only what happened, so a violation is a fault of the program. All times
 * are microseconds on the loop's clock. Not safe for use by several threads.
 */
public final class InvariantMonitor {
    /**
     * What this process may be held up for between reading its clock and writing, and what the rules add to each time
     * on sockets.
     */
    private static final long SLACK = 200_000;
    /** How much longer than the client's remaining time the time-out sent to a host may be. */
    private static final long WAIT_SLACK = 150_000;
    /** A final answer later than this behind its request's deadline is no answer. */
    private static final long ANSWER_SLACK = 500_000;

    private static final long NOT_OUT = Long.MAX_VALUE;

    /** A rule that was broken. */
    public enum Violation {
        /** An attempt began at a host that was listed as draining for longer than the grace. */
        SENT_TO_DRAINING,
        /** An attempt began though the class allows no further one after one that may have run. */
        SENT_TWICE,
        /** An attempt began for a request that was over. */
        SENT_AFTER_END,
        /** The time-out sent to a host was longer than the client's remaining time. */
        WAIT_TOO_LONG,
        /** The final answer came too late. */
        ANSWERED_LATE,
        /** A request had a second final answer. */
        ANSWERED_TWICE
    }

    /** A violation, with what there is to find it by. */
    public record Finding(Violation violation, long request, String host) {}

    private static final class Watched {
        final RequestClass requestClass;
        final long deadline;
        /** When each attempt that is out began, by its number; {@link #NOT_OUT} for the others. */
        long[] outSince = {};

        long firstMayHaveRun = Long.MAX_VALUE;
        boolean answered;
        boolean over;

        Watched(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        void begin(int attempt, long now) {
            if (attempt >= outSince.length) {
                int before = outSince.length;
                outSince = Arrays.copyOf(outSince, attempt + 1);
                Arrays.fill(outSince, before, outSince.length, NOT_OUT);
            }
            outSince[attempt] = now;
        }

        /** Ends an attempt; returns when it began, or {@link #NOT_OUT}. */
        long end(int attempt) {
            if (attempt >= outSince.length) {
                return NOT_OUT;
            }
            long began = outSince[attempt];
            outSince[attempt] = NOT_OUT;
            return began;
        }

        /** When the first attempt began that is out or may have run, or {@link #NOT_OUT}. */
        long firstThatMayRun() {
            return Math.min(firstMayHaveRun, Arrays.stream(outSince).min().orElse(NOT_OUT));
        }

        boolean isOut() {
            return Arrays.stream(outSince).anyMatch(began -> began != NOT_OUT);
        }
    }

    private final Map<Long, Watched> requests = new HashMap<>();
    private final Map<String, Long> drainingSince = new HashMap<>();

    /** A request was taken in. */
    public void requestAccepted(long request, RequestClass requestClass, long deadline) {
        requests.put(request, new Watched(requestClass, deadline));
    }

    /** A host was listed, as draining or not. */
    public void hostListed(long now, String host, boolean draining) {
        if (draining) {
            drainingSince.putIfAbsent(host, now);
        } else {
            drainingSince.remove(host);
        }
    }

    /** The first byte of an attempt is about to be written, whose host is to work for {@code wait} at most. */
    public List<Finding> attemptStarted(long now, long request, int attempt, String host, long wait, long drainGrace) {
        Watched watched = requests.get(request);
        List<Violation> found = new ArrayList<>();
        if (watched == null || watched.over) {
            found.add(Violation.SENT_AFTER_END);
        } else {
            if (repeatsWhatMayRun(now, watched)) {
                found.add(Violation.SENT_TWICE);
            }
            if (now + wait > watched.deadline + WAIT_SLACK) {
                found.add(Violation.WAIT_TOO_LONG);
            }
            watched.begin(attempt, now);
        }
        if (now - drainingSince.getOrDefault(host, now) > drainGrace + SLACK) {
            found.add(Violation.SENT_TO_DRAINING);
        }
        return found.stream()
                .map(violation -> new Finding(violation, request, host))
                .toList();
    }

    private static boolean repeatsWhatMayRun(long now, Watched watched) {
        Idempotency idempotency = watched.requestClass.idempotency();
        if (idempotency == Idempotency.IDEMPOTENT) {
            return false;
        }
        long first = watched.firstThatMayRun();
        return first != NOT_OUT
                && (idempotency == Idempotency.NOT_IDEMPOTENT
                        || now > first + watched.requestClass.deduplicationWindowMicros() + SLACK);
    }

    /** An attempt ended; {@code mayHaveRun} unless it is certain that its host did nothing for it. */
    public void attemptEnded(long request, int attempt, boolean mayHaveRun) {
        Watched watched = requests.get(request);
        if (watched == null) {
            return;
        }
        long began = watched.end(attempt);
        if (mayHaveRun) {
            watched.firstMayHaveRun = Math.min(watched.firstMayHaveRun, began);
        }
        forget(request, watched);
    }

    /** A client was given its final answer. */
    public List<Finding> requestAnswered(long now, long request) {
        Watched watched = requests.get(request);
        if (watched == null) {
            return List.of();
        }
        List<Violation> found = new ArrayList<>();
        if (watched.answered) {
            found.add(Violation.ANSWERED_TWICE);
        }
        if (now > watched.deadline + ANSWER_SLACK) {
            found.add(Violation.ANSWERED_LATE);
        }
        watched.answered = true;
        requestClosed(request);
        return found.stream()
                .map(violation -> new Finding(violation, request, ""))
                .toList();
    }

    /** No answer is due any more: it was given, or the client has disconnected. */
    public void requestClosed(long request) {
        Watched watched = requests.get(request);
        if (watched != null) {
            watched.over = true;
            forget(request, watched);
        }
    }

    private void forget(long request, Watched watched) {
        if (watched.over && !watched.isOut()) {
            requests.remove(request);
        }
    }

    /** How many requests are watched. */
    public int openRequests() {
        return requests.size();
    }
}
