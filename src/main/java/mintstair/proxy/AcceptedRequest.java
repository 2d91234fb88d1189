package mintstair.proxy;

import java.util.HashMap;
import java.util.Map;
import mintstair.request.ConnectionEnd;
import mintstair.request.Exchange;

/**
 * A request from its acceptance until it is over and its last attempt has ended: its exchange, its attempts that are
 * out and the guard of its deadline. To be used on the event loop only.
 */
final class AcceptedRequest {
    private final Exchange exchange;
    private final Map<Integer, Backend.Attempt> attempts = new HashMap<>();
    private DeadlineGuard deadlineGuard;
    private Backend.Attempt streamingAttempt;
    private ConnectionEnd lastEnd;
    private boolean idReleased;

    AcceptedRequest(Exchange exchange) {
        this.exchange = exchange;
    }

    Exchange exchange() {
        return exchange;
    }

    long number() {
        return exchange.number();
    }

    /** The client's own id for it. */
    String id() {
        return exchange.request().id();
    }

    String requestClass() {
        return exchange.request().requestClass();
    }

    void setDeadlineGuard(DeadlineGuard guard) {
        deadlineGuard = guard;
    }

    void cancelDeadlineGuard() {
        deadlineGuard.cancel();
    }

    /** Adds an attempt that is out. */
    void addAttempt(int number, Backend.Attempt attempt) {
        attempts.put(number, attempt);
    }

    /** The attempt of this number; null where it is not out. */
    Backend.Attempt attempt(int number) {
        return attempts.get(number);
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Removes an attempt that has ended; returns whether its reply was the one that is streamed. */
    boolean attemptEnded(int number, ConnectionEnd end) {
        lastEnd = end;
        Backend.Attempt removed = attempts.remove(number);
        return removed != null && removed == streamingAttempt;
    }

    /** How the last attempt that has ended did; null where none has. */
    ConnectionEnd lastEnd() {
        return lastEnd;
    }

    /** From here on the reply of this attempt is streamed to the client, and no other can be the answer. */
    void startStreaming(Backend.Attempt attempt) {
        streamingAttempt = attempt;
    }

    /** Whether the reply of some attempt is, or was, streamed. */
    boolean isStreaming() {
        return streamingAttempt != null;
    }

    boolean isStreaming(Backend.Attempt attempt) {
        return streamingAttempt == attempt;
    }

    void cancelStreaming() {
        if (streamingAttempt != null) {
            streamingAttempt.cancel();
        }
    }

    /** Returns true at the first call only: another request may have the same id by the next. */
    boolean releaseId() {
        boolean first = !idReleased;
        idReleased = true;
        return first;
    }
}
