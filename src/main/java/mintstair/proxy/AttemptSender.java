package mintstair.proxy;

import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.request.Response;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterAction;
import mintstair.routing.RouterEvent;
import mintstair.stats.Counters;

/**
 * Sends attempts to the backend and passes their replies and results on to the requests and the router. Used on the
 * event loop only.
 */
final class AttemptSender {
    private final EventLoop loop;
    private final RequestRouter router;
    private final RouterDriver driver;
    private final Backend backend;
    private final RequestTable requests;
    private final RequestCompletion completion;
    private final Counters counters;

    AttemptSender(
            EventLoop loop,
            RequestRouter router,
            RouterDriver driver,
            Backend backend,
            RequestTable requests,
            RequestCompletion completion,
            Counters counters) {
        this.loop = loop;
        this.router = router;
        this.driver = driver;
        this.backend = backend;
        this.requests = requests;
        this.completion = completion;
        this.counters = counters;
    }

    /** Starts the attempt, unless it may no longer begin. Its end is reported to the router in either case. */
    void send(RouterAction.Send action) {
        AcceptedRequest request = requests.get(action.request());
        long nowMicros = loop.now();
        if (request == null) {
            reportNotSent(nowMicros, action, true);
            return;
        }
        if (!request.exchange().isClientWaiting()) {
            // The connection was closed, but the task that reports it is still queued on the event loop.
            completion.clientDisconnected(request.exchange());
        }
        long abandonAtMicros = abandonAtMicros(action, request.exchange().deadlineMicros());
        AttemptVerdict verdict = router.mayBegin(nowMicros, action, request.exchange(), abandonAtMicros);
        if (verdict != AttemptVerdict.MAY_BEGIN) {
            counters.attemptHeldBack(verdict);
            reportNotSent(nowMicros, action, request.exchange().isOver());
            return;
        }
        countSent(action, request);
        new SentAttempt(action, request, nowMicros, abandonAtMicros).start();
    }

    private static long abandonAtMicros(RouterAction.Send action, long deadlineMicros) {
        return action.abandonAtMicros() == 0 ? deadlineMicros : Math.min(action.abandonAtMicros(), deadlineMicros);
    }

    private void countSent(RouterAction.Send action, AcceptedRequest request) {
        counters.attemptSent();
        if (action.attempt() > 0) {
            counters.retrySent(request.hasInFlightAttempts() ? null : request.lastAttemptEnd());
        }
    }

    private void reportNotSent(long nowMicros, RouterAction.Send action, boolean requestOver) {
        reportEnded(nowMicros, action, ConnectionEnd.NEVER_SENT, 0, requestOver, HostReport.NONE);
    }

    private void reportEnded(
            long nowMicros,
            RouterAction.Send action,
            ConnectionEnd end,
            long latencyMicros,
            boolean requestOver,
            HostReport report) {
        driver.handle(
                nowMicros,
                new RouterEvent.AttemptEnded(
                        action.request(), action.attempt(), action.host(), end, latencyMicros, requestOver, report));
    }

    /** An attempt that has been passed to the backend and may still be in flight. */
    private final class SentAttempt implements Backend.AttemptListener {
        private final RouterAction.Send action;
        private final AcceptedRequest request;
        private final long sentAtMicros;
        private final long abandonAtMicros;
        private boolean ended;

        SentAttempt(RouterAction.Send action, AcceptedRequest request, long sentAtMicros, long abandonAtMicros) {
            this.action = action;
            this.request = request;
            this.sentAtMicros = sentAtMicros;
            this.abandonAtMicros = abandonAtMicros;
        }

        void start() {
            Backend.Attempt attempt = backend.send(
                    action.host(),
                    request.exchange().request().statement(),
                    action.beginByMicros(),
                    abandonAtMicros,
                    this);
            if (!ended) {
                request.addAttempt(action.attempt(), attempt);
            }
        }

        @Override
        public AttemptVerdict mayBegin(long nowMicros) {
            return router.mayBegin(nowMicros, action, request.exchange(), abandonAtMicros);
        }

        @Override
        public void onBegin(long nowMicros, long timeoutMicros) {
            driver.execute(router.attemptStarted(nowMicros, action, timeoutMicros));
        }

        @Override
        public void onReplyPart(byte[] bytes, Runnable onConsumed) {
            Backend.Attempt attempt = request.attempt(action.attempt());
            if (!request.isStreaming() && !request.exchange().isOver()) {
                startStreaming(attempt);
            }
            if (request.isStreaming(attempt)) {
                request.exchange().sendPart(bytes, onConsumed);
            } else {
                // The response is already provided by another attempt, or the request is over.
                onConsumed.run();
                attempt.cancel();
            }
        }

        /** Makes this reply the only possible response, to which the deadline no longer applies. */
        private void startStreaming(Backend.Attempt attempt) {
            request.startStreaming(attempt);
            request.cancelDeadlineGuard();
            completion.responseStarted(request);
            // The host has executed the request. How fast the client reads the response neither indicates the health of
            // the host nor uses its capacity.
            long nowMicros = loop.now();
            driver.handle(
                    nowMicros,
                    new RouterEvent.ReplyStarted(
                            action.request(), action.attempt(), action.host(), nowMicros - sentAtMicros));
        }

        @Override
        public void onEnd(HostReply reply) {
            ended = true;
            boolean streamed = request.attemptEnded(action.attempt(), reply.end());
            counters.attemptEnded(reply.end());
            if (reply.end().isServed() && (streamed || !request.isStreaming())) {
                completion.respond(request, new Response.Served(action.host(), reply.body()));
            } else if (streamed && !request.exchange().isOver()) {
                completion.streamTruncated(request);
            }
            long nowMicros = loop.now();
            boolean over = request.exchange().isOver();
            if (over) {
                requests.close(request);
            }
            if (streamed) {
                driver.handle(nowMicros, new RouterEvent.ReplyEnded(action.request(), reply.end(), reply.report()));
            } else {
                boolean requestOver = over || request.isStreaming();
                reportEnded(nowMicros, action, reply.end(), nowMicros - sentAtMicros, requestOver, reply.report());
            }
        }
    }
}
