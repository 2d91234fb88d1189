package mintstair.proxy;

import java.util.function.Consumer;
import mintstair.request.Response;
import mintstair.routing.RouterAction;
import mintstair.stats.Counters;

/** Executes the actions that the router returns. Used on the event loop only. */
final class ActionExecutor implements RouterAction.Visitor {
    private static final long MICROS_PER_MILLI = 1_000;

    private final RequestTable requests;
    private final AttemptSender attempts;
    private final HealthCheckSender healthChecks;
    private final RequestCompletion completion;
    private final Counters counters;
    private final Consumer<String> log;

    ActionExecutor(
            RequestTable requests,
            AttemptSender attempts,
            HealthCheckSender healthChecks,
            RequestCompletion completion,
            Counters counters,
            Consumer<String> log) {
        this.requests = requests;
        this.attempts = attempts;
        this.healthChecks = healthChecks;
        this.completion = completion;
        this.counters = counters;
        this.log = log;
    }

    @Override
    public void send(RouterAction.Send action) {
        attempts.send(action);
    }

    @Override
    public void cancel(RouterAction.Cancel action) {
        AcceptedRequest request = requests.get(action.request());
        Backend.Attempt attempt = request == null ? null : request.attempt(action.attempt());
        if (attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    public void reject(RouterAction.Reject action) {
        AcceptedRequest request = requests.get(action.request());
        if (request != null) {
            completion.respond(request, new Response.Rejected(ceilToMillis(action.retryAfterMicros())));
        }
    }

    private static long ceilToMillis(long micros) {
        return (micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    }

    @Override
    public void fail(RouterAction.Fail action) {
        AcceptedRequest request = requests.get(action.request());
        if (request != null) {
            completion.fail(request);
        }
    }

    @Override
    public void gaveUp(RouterAction.GaveUp action) {
        counters.requestGivenUp(action.reason());
    }

    @Override
    public void checkHealth(RouterAction.CheckHealth action) {
        healthChecks.send(action.host());
    }

    @Override
    public void invariantViolated(RouterAction.InvariantViolated action) {
        counters.invariantViolated(action.rule());
        AcceptedRequest request = requests.get(action.request());
        String id = request == null ? "?" : request.id();
        log.accept("rule broken: " + action.rule() + " request=" + action.request() + " id=" + id + " host="
                + action.host());
    }

    @Override
    public void log(RouterAction.Log action) {
        log.accept("router: " + action.text());
    }
}
