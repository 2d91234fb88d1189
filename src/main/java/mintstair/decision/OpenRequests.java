package mintstair.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import mintstair.request.GiveUpReason;

/**
 * The requests that have no final answer yet, or some attempt of which has not ended, and the ways in which the router
 * itself ends them. Times are microseconds. Not safe for use by several threads.
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

    /** The request with this id, or null. */
    InFlightRequest get(long id) {
        return requests.get(id);
    }

    /** All requests, in the order of their arrival. */
    Collection<InFlightRequest> all() {
        return requests.values();
    }

    /** The final answer at once: rejected where the client may safely come again, else failed. */
    void giveUp(long now, InFlightRequest request, GiveUpReason reason) {
        actions.gaveUp(request.request.id(), reason);
        if (RetryPolicy.isSafeToRepeat(request)) {
            actions.reject(request.request.id(), retries.retryAfter(now, request));
        } else {
            actions.fail(request.request.id());
        }
        finish(request);
    }

    /** It has its final answer, or its client has left: attempts that are out are cancelled. */
    void finish(InFlightRequest request) {
        request.finish();
        cancelAttempts(request);
        removeIfDone(request);
    }

    /** Forgets the request if nothing of it is left. */
    void removeIfDone(InFlightRequest request) {
        if (request.isFinished() && request.outstanding() == 0) {
            requests.remove(request.request.id());
        }
    }

    /** Cancels all attempts that are out, where that is permitted. */
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
