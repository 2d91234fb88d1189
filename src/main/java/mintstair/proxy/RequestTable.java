package mintstair.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Holds the accepted requests by their number, and the client ids of those that are open. Used on the event loop only.
 *
 * <p>A request is open until it has received its final response or its client has disconnected. It stays in the table
 * until, in addition, its last attempt has ended.
 */
final class RequestTable {
    private final Map<Long, AcceptedRequest> requests = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();

    /** Adds an open request. */
    void add(AcceptedRequest request) {
        requests.put(request.number(), request);
        openIds.add(request.id());
    }

    /** Returns the request with this number, or null if it is over and has no in-flight attempts. */
    AcceptedRequest get(long number) {
        return requests.get(number);
    }

    /** Returns whether a request with this client id is open. */
    boolean hasOpenRequest(String id) {
        return openIds.contains(id);
    }

    /**
     * Closes a request that is over, and removes it if no attempt is in flight. Must be called again whenever an
     * attempt of a closed request ends.
     */
    void close(AcceptedRequest request) {
        if (request.releaseId()) {
            openIds.remove(request.id());
        }
        request.cancelDeadlineGuard();
        if (!request.hasInFlightAttempts()) {
            requests.remove(request.number());
        }
    }

    /** Returns the number of requests that are not over; a streamed response counts until it is complete. */
    int countInFlight() {
        int inFlight = 0;
        for (AcceptedRequest request : requests.values()) {
            inFlight += request.exchange().isOver() ? 0 : 1;
        }
        return inFlight;
    }
}
