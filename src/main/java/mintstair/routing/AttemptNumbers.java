package mintstair.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Numbers the attempts of each request, as the decision module refers to them by number but does not pass the number
 * when it sends one. A request is kept until it is over and its last attempt has ended. Not safe for use by several
 * threads.
 */
final class AttemptNumbers {
    private static final class Attempts {
        private int nextNumber;
        private int outstanding;
        private boolean requestOver;
    }

    private final Map<Long, Attempts> byRequest = new HashMap<>();

    /** Adds a request that has no attempt yet. */
    void requestAccepted(long request) {
        byRequest.put(request, new Attempts());
    }

    /** Counts a new attempt of a known request; returns its number, from 0. */
    int attemptStarted(long request) {
        Attempts attempts = byRequest.get(request);
        attempts.outstanding++;
        return attempts.nextNumber++;
    }

    /** Counts the end of an attempt; false where the request is not known. */
    boolean attemptEnded(long request, boolean requestOver) {
        Attempts attempts = byRequest.get(request);
        if (attempts == null) {
            return false;
        }
        attempts.outstanding--;
        attempts.requestOver |= requestOver;
        return true;
    }

    /** Marks a request as over: no further attempt of it will start. False where the request is not known. */
    boolean requestOver(long request) {
        Attempts attempts = byRequest.get(request);
        if (attempts == null) {
            return false;
        }
        attempts.requestOver = true;
        return true;
    }

    /** Forgets a request that is over and has no attempt out; does nothing for any other. */
    void removeIfDone(long request) {
        Attempts attempts = byRequest.get(request);
        if (attempts != null && attempts.requestOver && attempts.outstanding <= 0) {
            byRequest.remove(request);
        }
    }

    /** How many requests are kept. */
    int size() {
        return byRequest.size();
    }
}
