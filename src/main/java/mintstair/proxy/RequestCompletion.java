package mintstair.proxy;

import mintstair.request.Exchange;
import mintstair.request.Response;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterEvent;
import mintstair.stats.Counters;

/**
 * The ways in which a request can be over: answered, abandoned by its client, overdue, or with a streamed answer that
 * broke off. To be used on the event loop only.
 */
final class RequestCompletion {
    private static final String OVERDUE = "its time ran out";
    private static final String NOT_SERVED = "no host could serve it";
    private static final String STREAM_BROKEN = "its host broke off";

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

    /** Gives the final answer, unless there was one or the client has left; the request is over then. */
    void answer(AcceptedRequest request, Response response) {
        if (request.exchange().respond(response)) {
            counters.requestCompleted(request.requestClass(), response);
            if (!request.isStreaming()) {
                responseStarted(request);
            }
        }
        requests.close(request);
    }

    /** The client is given its answer, or the first part of it: the router's invariant checks are to know. */
    void responseStarted(AcceptedRequest request) {
        driver.execute(router.responseStarted(loop.now(), request.number()));
    }

    /** Gives the final answer of a request that the router gives up. */
    void fail(AcceptedRequest request) {
        boolean late = loop.now() >= request.exchange().deadlineMicros();
        answer(request, new Response.Failed(late ? OVERDUE : NOT_SERVED, late));
    }

    /** Fails a request that has no answer though its deadline has passed. */
    void deadlineExpired(AcceptedRequest request) {
        if (request.exchange().isOver()) {
            return;
        }
        counters.requestOverdue();
        answer(request, new Response.Failed(OVERDUE, true));
        reportDisconnected(request.exchange());
    }

    /** The client of an exchange has left; does nothing where that is over. */
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

    /** The reply that is streamed to the client broke off before its end. */
    void streamBroken(AcceptedRequest request) {
        counters.requestCompleted(request.requestClass(), new Response.Failed(STREAM_BROKEN, false));
        request.exchange().abort();
    }

    private void reportDisconnected(Exchange exchange) {
        driver.handle(loop.now(), new RouterEvent.ClientDisconnected(exchange.number()));
    }
}
