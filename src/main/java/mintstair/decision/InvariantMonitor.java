package mintstair.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks at run time that what is sent to hosts and clients satisfies the invariants of the proxy. It makes no
 * decisions and shares no state with the classes that do: it observes only what happens, so a violation is a fault of
 * the program. Times are in microseconds on the clock of the event loop. Not safe for use by several threads.
 */
public final class InvariantMonitor {
    /**
     * Tolerance of the bounds on draining and deduplication: the process may be paused between reading the clock and
     * writing to a socket, and the rules allow as much for every time that is measured on sockets.
     */
    private static final long PAUSE_TOLERANCE_MICROS = 200_000;
    /** How much the time-out that is sent to a host may exceed the client's remaining time. */
    private static final long TIMEOUT_TOLERANCE_MICROS = 150_000;
    /** How long after the deadline of its request a final response still counts as in time. */
    private static final long RESPONSE_TOLERANCE_MICROS = 500_000;

    private static final long NOT_IN_FLIGHT = Long.MAX_VALUE;

    /** An invariant that was violated. */
    public enum Violation {
        /** An attempt started at a host that had been listed as draining for longer than the grace period. */
        SENT_TO_DRAINING,
        /** An attempt started although an earlier one may have run and the request class forbids a repeat. */
        SENT_TWICE,
        /** An attempt started for a request that was over. */
        SENT_AFTER_END,
        /** The time-out that was sent to a host exceeded the client's remaining time. */
        WAIT_TOO_LONG,
        /** The final response was sent too late. */
        ANSWERED_LATE,
        /** A second final response was sent for a request. */
        ANSWERED_TWICE
    }

    /**
     * A violation and where it occurred.
     *
     * @param request the number of the request
     * @param host the host of the attempt; empty if the violation concerns the response to the client
     */
    public record Finding(Violation violation, long request, String host) {}

    private static final class TrackedRequest {
        final RequestClass requestClass;
        final long deadline;
        /** The start time of each attempt that is in flight, by its number; {@link #NOT_IN_FLIGHT} for the others. */
        long[] attemptStarts = {};

        long firstMayHaveRunAt = Long.MAX_VALUE;
        boolean answered;
        boolean closed;

        TrackedRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        void startAttempt(int attempt, long now) {
            if (attempt >= attemptStarts.length) {
                int oldLength = attemptStarts.length;
                attemptStarts = Arrays.copyOf(attemptStarts, attempt + 1);
                Arrays.fill(attemptStarts, oldLength, attemptStarts.length, NOT_IN_FLIGHT);
            }
            attemptStarts[attempt] = now;
        }

        /** Ends an attempt; returns its start time, or {@link #NOT_IN_FLIGHT}. */
        long endAttempt(int attempt) {
            if (attempt >= attemptStarts.length) {
                return NOT_IN_FLIGHT;
            }
            long startedAt = attemptStarts[attempt];
            attemptStarts[attempt] = NOT_IN_FLIGHT;
            return startedAt;
        }

        /**
         * Returns the start time of the first attempt that is in flight or may have run, or {@link #NOT_IN_FLIGHT} if
         * there is none.
         */
        long firstPossibleExecution() {
            return Math.min(
                    firstMayHaveRunAt, Arrays.stream(attemptStarts).min().orElse(NOT_IN_FLIGHT));
        }

        boolean hasAttemptInFlight() {
            return Arrays.stream(attemptStarts).anyMatch(startedAt -> startedAt != NOT_IN_FLIGHT);
        }
    }

    private final Map<Long, TrackedRequest> requests = new HashMap<>();
    private final Map<String, Long> drainingSince = new HashMap<>();

    /** Records that a request was accepted. */
    public void requestAccepted(long request, RequestClass requestClass, long deadline) {
        requests.put(request, new TrackedRequest(requestClass, deadline));
    }

    /** Records that a host was listed, as draining or not. */
    public void hostListed(long now, String host, boolean draining) {
        if (draining) {
            drainingSince.putIfAbsent(host, now);
        } else {
            drainingSince.remove(host);
        }
    }

    /**
     * Checks an attempt whose first byte is about to be written.
     *
     * @param timeout the time-out that is sent to the host
     * @param drainGrace how long a draining host may still be sent attempts
     * @return the violations, if any
     */
    public List<Finding> attemptStarted(
            long now, long request, int attempt, String host, long timeout, long drainGrace) {
        TrackedRequest tracked = requests.get(request);
        List<Violation> violations = new ArrayList<>();
        if (tracked == null || tracked.closed) {
            violations.add(Violation.SENT_AFTER_END);
        } else {
            if (mayRunTwice(now, tracked)) {
                violations.add(Violation.SENT_TWICE);
            }
            if (now + timeout > tracked.deadline + TIMEOUT_TOLERANCE_MICROS) {
                violations.add(Violation.WAIT_TOO_LONG);
            }
            tracked.startAttempt(attempt, now);
        }
        if (now - drainingSince.getOrDefault(host, now) > drainGrace + PAUSE_TOLERANCE_MICROS) {
            violations.add(Violation.SENT_TO_DRAINING);
        }
        return violations.stream()
                .map(violation -> new Finding(violation, request, host))
                .toList();
    }

    private static boolean mayRunTwice(long now, TrackedRequest tracked) {
        Idempotency idempotency = tracked.requestClass.idempotency();
        if (idempotency == Idempotency.IDEMPOTENT) {
            return false;
        }
        long first = tracked.firstPossibleExecution();
        return first != NOT_IN_FLIGHT
                && (idempotency == Idempotency.NOT_IDEMPOTENT
                        || now > first + tracked.requestClass.deduplicationWindowMicros() + PAUSE_TOLERANCE_MICROS);
    }

    /**
     * Records the end of an attempt.
     *
     * @param mayHaveRun false if it is certain that the host did not execute it
     */
    public void attemptEnded(long request, int attempt, boolean mayHaveRun) {
        TrackedRequest tracked = requests.get(request);
        if (tracked == null) {
            return;
        }
        long startedAt = tracked.endAttempt(attempt);
        if (mayHaveRun) {
            tracked.firstMayHaveRunAt = Math.min(tracked.firstMayHaveRunAt, startedAt);
        }
        removeIfOver(request, tracked);
    }

    /** Records that the final response was sent; returns the violations, if any. */
    public List<Finding> requestAnswered(long now, long request) {
        TrackedRequest tracked = requests.get(request);
        if (tracked == null) {
            return List.of();
        }
        List<Violation> violations = new ArrayList<>();
        if (tracked.answered) {
            violations.add(Violation.ANSWERED_TWICE);
        }
        if (now > tracked.deadline + RESPONSE_TOLERANCE_MICROS) {
            violations.add(Violation.ANSWERED_LATE);
        }
        tracked.answered = true;
        requestClosed(request);
        return violations.stream()
                .map(violation -> new Finding(violation, request, ""))
                .toList();
    }

    /** Records that no response is due any more, because it was sent or the client has disconnected. */
    public void requestClosed(long request) {
        TrackedRequest tracked = requests.get(request);
        if (tracked != null) {
            tracked.closed = true;
            removeIfOver(request, tracked);
        }
    }

    private void removeIfOver(long request, TrackedRequest tracked) {
        if (tracked.closed && !tracked.hasAttemptInFlight()) {
            requests.remove(request);
        }
    }

    /** Returns the number of requests that are tracked. */
    public int openRequests() {
        return requests.size();
    }
}
