package mintstair.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Assigns a number to each attempt of a request. The decision module refers to attempts by number, but does not pass
 * the number when it starts one. A request is kept until it is over and all of its attempts have ended. Not
 * thread-safe.
 */
final class AttemptNumbers {
    private static final class Attempts {
        private int nextNumber;
        private int outstanding;
        private boolean requestOver;
    }

    private final Map<Long, Attempts> byRequest = new HashMap<>();

    /** Adds a request that has no attempts yet. */
    void requestAccepted(long request) {
        byRequest.put(request, new Attempts());
    }

    /** Records the start of an attempt of a known request and returns its number, counted from 0. */
    int attemptStarted(long request) {
        Attempts attempts = byRequest.get(request);
        attempts.outstanding++;
        return attempts.nextNumber++;
    }

    /** Records the end of an attempt; returns false if the request is unknown. */
    boolean attemptEnded(long request, boolean requestOver) {
        Attempts attempts = byRequest.get(request);
        if (attempts == null) {
            return false;
        }
        attempts.outstanding--;
        attempts.requestOver |= requestOver;
        return true;
    }

    /** Marks a request as over, after which no further attempt starts; returns false if the request is unknown. */
    boolean requestOver(long request) {
        Attempts attempts = byRequest.get(request);
        if (attempts == null) {
            return false;
        }
        attempts.requestOver = true;
        return true;
    }

    /** Removes the request if it is over and has no outstanding attempts. */
    void removeIfDone(long request) {
        Attempts attempts = byRequest.get(request);
        if (attempts != null && attempts.requestOver && attempts.outstanding <= 0) {
            byRequest.remove(request);
        }
    }

    /** Returns the number of requests that are kept. */
    int size() {
        return byRequest.size();
    }
}
