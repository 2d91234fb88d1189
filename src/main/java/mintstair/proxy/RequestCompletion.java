package mintstair.proxy;

import mintstair.request.Exchange;
import mintstair.request.Response;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterEvent;
import mintstair.stats.Counters;

/**
 * Completes requests: with a final response, or because the client disconnected, the deadline passed or a streamed
 * reply was truncated. Used on the event loop only.
 */
final class RequestCompletion {
    private static final String DEADLINE_EXCEEDED = "its time ran out";
    private static final String NOT_SERVED = "no host could serve it";
    private static final String REPLY_TRUNCATED = "the reply of the host was truncated";

    private final EventLoop loop;
    private final RequestRouter router;
    private final RouterDriver driver;
    private final RequestTable requests;
    private final Counters counters;

    RequestCompletion(
            EventLoop loop, RequestRouter router, RouterDriver driver, RequestTable requests, Counters counters) {
        this.loop = loop;
        this.router = router;
        this.driver = driver;
        this.requests = requests;
        this.counters = counters;
    }

    /** Sends the final response, unless the request is already over, and closes the request. */
    void respond(AcceptedRequest request, Response response) {
        if (request.exchange().respond(response)) {
            counters.requestCompleted(request.requestClass(), response);
            if (!request.isStreaming()) {
                responseStarted(request);
            }
        }
        requests.close(request);
    }

    /** Reports to the router's invariant checks that the client is sent its response, or the first part of it. */
    void responseStarted(AcceptedRequest request) {
        driver.execute(router.responseStarted(loop.now(), request.number()));
    }

    /** Sends the final response to a request that the router gives up. */
    void fail(AcceptedRequest request) {
        boolean late = loop.now() >= request.exchange().deadlineMicros();
        respond(request, new Response.Failed(late ? DEADLINE_EXCEEDED : NOT_SERVED, late));
    }

    /** Fails a request that has no final response although its deadline has passed. Does nothing if it is over. */
    void deadlineExpired(AcceptedRequest request) {
        if (request.exchange().isOver()) {
            return;
        }
        counters.requestOverdue();
        respond(request, new Response.Failed(DEADLINE_EXCEEDED, true));
        reportDisconnected(request.exchange());
    }

    /** Abandons the request of a client that has disconnected. Does nothing if the exchange is over. */
    void clientDisconnected(Exchange exchange) {
        if (exchange.isOver()) {
            return;
        }
        counters.requestAbandoned();
        exchange.abandon();
        AcceptedRequest request = requests.get(exchange.number());
        requests.close(request);
        request.cancelStreaming();
        reportDisconnected(exchange);
    }

    /** Aborts a streamed response because the reply of the host ended early, and counts the request as failed. */
    void streamTruncated(AcceptedRequest request) {
        counters.requestCompleted(request.requestClass(), new Response.Failed(REPLY_TRUNCATED, false));
        request.exchange().abort();
    }

    private void reportDisconnected(Exchange exchange) {
        driver.handle(loop.now(), new RouterEvent.ClientDisconnected(exchange.number()));
    }
}
