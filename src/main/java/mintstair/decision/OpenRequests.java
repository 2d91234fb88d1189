package mintstair.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import mintstair.request.GiveUpReason;

/**
 * Holds the requests whose final response has not been sent or that have attempts in flight, and ends those that the
 * router itself rejects, fails or cancels. Times are microseconds. Not safe for use by several threads.
 */
final class OpenRequests {
    private final Supplier<RouterSettings> settings;
    private final RetryPolicy retries;
    private final RouterActions actions;
    private final Map<Long, InFlightRequest> requests = new LinkedHashMap<>();

    OpenRequests(Supplier<RouterSettings> settings, RetryPolicy retries, RouterActions actions) {
        this.settings = settings;
        this.retries = retries;
        this.actions = actions;
    }

    void add(InFlightRequest request) {
        requests.put(request.request.id(), request);
    }

    /** Returns the request with this id, or null. */
    InFlightRequest get(long id) {
        return requests.get(id);
    }

    /** Returns all requests, in the order of their arrival. */
    Collection<InFlightRequest> all() {
        return requests.values();
    }

    /** Ends the request without a reply of a host: rejects it if the client may safely repeat it, else fails it. */
    void giveUp(long now, InFlightRequest request, GiveUpReason reason) {
        actions.gaveUp(request.request.id(), reason);
        if (RetryPolicy.isSafeToRepeat(request)) {
            actions.reject(request.request.id(), retries.retryAfter(now, request));
        } else {
            actions.fail(request.request.id());
        }
        finish(request);
    }

    /** Ends a request whose final response was sent or whose client disconnected; cancels its attempts in flight. */
    void finish(InFlightRequest request) {
        request.finish();
        cancelAttempts(request);
        removeIfDone(request);
    }

    /** Removes the request if it is finished and has no attempts in flight. */
    void removeIfDone(InFlightRequest request) {
        if (request.isFinished() && request.outstanding() == 0) {
            requests.remove(request.request.id());
        }
    }

    /** Cancels all attempts in flight, if the settings permit cancellation. */
    void cancelAttempts(InFlightRequest request) {
        if (!settings.get().limits().cancellation()) {
            return;
        }
        for (int attempt = 0; attempt < request.attempts(); attempt++) {
            if (request.isOutstanding(attempt)) {
                actions.cancel(request.request.id(), attempt);
            }
        }
    }
}
