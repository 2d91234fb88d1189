package mintstair.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The accepted requests by their number, and the client ids of those that are open. To be used on the event loop only.
 *
 * <p>A request is open until it has its final answer or its client has left; it stays in the table until, after that,
 * its last attempt has ended.
 */
final class RequestTable {
    private final Map<Long, AcceptedRequest> requests = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();

    /** Adds an open request. */
    void add(AcceptedRequest request) {
        requests.put(request.number(), request);
        openIds.add(request.id());
    }

    /** The request of this number; null where it is over and has no attempts out. */
    AcceptedRequest get(long number) {
        return requests.get(number);
    }

    /** Whether a request with this client id is open. */
    boolean hasOpenRequest(String id) {
        return openIds.contains(id);
    }

    /** Closes a request that is over. To be called again when an attempt of it ends, as the last one has it removed. */
    void close(AcceptedRequest request) {
        if (request.releaseId()) {
            openIds.remove(request.id());
        }
        request.cancelDeadlineGuard();
        if (!request.hasAttempts()) {
            requests.remove(request.number());
        }
    }

    /** How many requests are open, or have a streamed answer that is not finished. */
    int countInFlight() {
        int inFlight = 0;
        for (AcceptedRequest request : requests.values()) {
            inFlight += request.exchange().isOver() ? 0 : 1;
        }
        return inFlight;
    }
}
