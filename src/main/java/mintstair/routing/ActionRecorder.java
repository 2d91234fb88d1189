package mintstair.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mintstair.decision.InvariantMonitor;
import mintstair.decision.RouterActions;
import mintstair.request.GiveUpReason;

/**
 * Records the actions that the decision module requests during a call, so that they can be returned as a list. Not
 * thread-safe.
 */
final class ActionRecorder implements RouterActions {
    private final AttemptNumbers attempts;
    private final TimerQueue timers;
    private List<RouterAction> recorded = new ArrayList<>();

    ActionRecorder(AttemptNumbers attempts, TimerQueue timers) {
        this.attempts = attempts;
        this.timers = timers;
    }

    /** Returns the actions recorded since the last call, in order. The caller owns the list. */
    List<RouterAction> take() {
        List<RouterAction> actions = recorded;
        recorded = new ArrayList<>();
        return actions;
    }

    /** Records each violation under the name that the invariant has in metrics and log lines. */
    void recordViolations(List<InvariantMonitor.Finding> findings) {
        for (InvariantMonitor.Finding finding : findings) {
            String rule = finding.violation().name().toLowerCase(Locale.ROOT);
            recorded.add(new RouterAction.InvariantViolated(rule, finding.request(), finding.host()));
        }
    }

    @Override
    public void send(long request, String host, long abandonAtMicros, long beginByMicros) {
        int attempt = attempts.attemptStarted(request);
        recorded.add(new RouterAction.Send(request, attempt, host, abandonAtMicros, beginByMicros));
    }

    @Override
    public void cancel(long request, int attempt) {
        recorded.add(new RouterAction.Cancel(request, attempt));
    }

    @Override
    public void reject(long request, long retryAfterMicros) {
        recorded.add(new RouterAction.Reject(request, retryAfterMicros));
        requestOver(request);
    }

    @Override
    public void fail(long request) {
        recorded.add(new RouterAction.Fail(request));
        requestOver(request);
    }

    private void requestOver(long request) {
        attempts.requestOver(request);
        attempts.removeIfDone(request);
    }

    @Override
    public void gaveUp(long request, GiveUpReason reason) {
        recorded.add(new RouterAction.GaveUp(request, reason));
    }

    @Override
    public void checkHealth(String host) {
        recorded.add(new RouterAction.CheckHealth(host));
    }

    @Override
    public void startTimer(String name, long delayMicros) {
        timers.start(name, delayMicros);
    }

    /** Does nothing, because the endpoint watch subscribes by itself regardless of the settings. */
    @Override
    public void subscribe() {}

    /** Does nothing, because proxies do not exchange messages of the decision module. */
    @Override
    public void broadcast(String text) {}

    @Override
    public void log(String text) {
        recorded.add(new RouterAction.Log(text));
    }
}
