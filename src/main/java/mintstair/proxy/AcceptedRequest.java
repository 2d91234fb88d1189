package mintstair.proxy;

import java.util.HashMap;
import java.util.Map;
import mintstair.request.ConnectionEnd;
import mintstair.request.Exchange;

/**
 * An accepted request, kept until it is over and its last attempt has ended: its exchange, its in-flight attempts and
 * the guard of its deadline. Used on the event loop only.
 */
final class AcceptedRequest {
    private final Exchange exchange;
    private final Map<Integer, Backend.Attempt> attempts = new HashMap<>();
    private DeadlineGuard deadlineGuard;
    private Backend.Attempt streamingAttempt;
    private ConnectionEnd lastAttemptEnd;
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

    /** Returns the id that the client assigned to the request. */
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

    /** Adds an in-flight attempt. */
    void addAttempt(int number, Backend.Attempt attempt) {
        attempts.put(number, attempt);
    }

    /** Returns the in-flight attempt with this number, or null if there is none. */
    Backend.Attempt attempt(int number) {
        return attempts.get(number);
    }

    boolean hasInFlightAttempts() {
        return !attempts.isEmpty();
    }

    /** Removes an attempt that has ended. Returns whether its reply was being streamed to the client. */
    boolean attemptEnded(int number, ConnectionEnd end) {
        lastAttemptEnd = end;
        Backend.Attempt removed = attempts.remove(number);
        return removed != null && removed == streamingAttempt;
    }

    /** Returns how the most recently ended attempt ended, or null if no attempt has ended. */
    ConnectionEnd lastAttemptEnd() {
        return lastAttemptEnd;
    }

    /** Selects the attempt whose reply is streamed to the client; no other reply can be the response after this. */
    void startStreaming(Backend.Attempt attempt) {
        streamingAttempt = attempt;
    }

    /** Returns whether the reply of any attempt is being streamed or has been streamed. */
    boolean isStreaming() {
        return streamingAttempt != null;
    }

    /** Returns whether the reply of this attempt is being streamed or has been streamed. */
    boolean isStreaming(Backend.Attempt attempt) {
        return streamingAttempt == attempt;
    }

    /** Cancels the attempt whose reply is streamed, if there is one. */
    void cancelStreaming() {
        if (streamingAttempt != null) {
            streamingAttempt.cancel();
        }
    }

    /**
     * Marks the client's id as available for other requests. Returns true for the first call only, as another request
     * may already use the same id at the time of a later call.
     */
    boolean releaseId() {
        boolean first = !idReleased;
        idReleased = true;
        return first;
    }
}
