package mintstair.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mintstair.config.InstanceSettings;
import mintstair.decision.AttemptOutcome;
import mintstair.decision.AttemptRules;
import mintstair.decision.FleetSize;
import mintstair.decision.InvariantMonitor;
import mintstair.decision.ReadWriteSplitter;
import mintstair.decision.Router;
import mintstair.request.AttemptVerdict;
import mintstair.request.EndpointList;
import mintstair.request.Exchange;
import mintstair.request.ProxyRequest;

/**
 * Routes requests by passing requests, events and timers to the decision module. Each call returns the resulting
 * actions, in the order in which they must be executed.
 *
 * <p>All times are Unix microseconds on the event loop's clock. Not thread-safe; calls must not overlap.
 */
public final class RequestRouter {
    private final AttemptNumbers attempts = new AttemptNumbers();
    private final TimerQueue timers;
    private final ActionRecorder actions;
    private final RequestClasses classes;
    private final Router router;
    private final InvariantMonitor monitor = new InvariantMonitor();
    private final RouterEvent.Visitor eventHandler = new EventHandler();
    private final Set<String> drainingHosts = new HashSet<>();
    private long drainGraceMicros;

    /**
     * Creates a router that has no endpoints yet.
     *
     * @param seed the seed of its random number generator
     * @throws mintstair.decision.InvalidSettingsException if the settings are invalid
     */
    public RequestRouter(long nowMicros, long seed, InstanceSettings settings) {
        timers = new TimerQueue(nowMicros);
        actions = new ActionRecorder(attempts, timers);
        classes = new RequestClasses(settings);
        drainGraceMicros = settings.drainGraceMicros;
        router = new ReadWriteSplitter(nowMicros, seed, settings.routerSettings, actions);
    }

    /**
     * Applies new settings. In-flight requests keep the request class that they were accepted with.
     *
     * @throws mintstair.decision.InvalidSettingsException if the settings are invalid
     */
    public List<RouterAction> applySettings(long nowMicros, InstanceSettings newSettings) {
        timers.advanceTo(nowMicros);
        classes.apply(newSettings);
        drainGraceMicros = newSettings.drainGraceMicros;
        router.onSettings(nowMicros, newSettings.routerSettings);
        return actions.take();
    }

    /** Returns the request classes of the current settings. */
    public RequestClasses classes() {
        return classes;
    }

    /** Returns the number of listed hosts that currently receive no requests, or only trial requests. */
    public int unavailableEndpoints(long nowMicros) {
        return router.unavailableEndpoints(nowMicros);
    }

    /** Routes a new request. Later calls, events and actions refer to it by {@code number}. */
    public List<RouterAction> route(long nowMicros, long number, ProxyRequest request) {
        timers.advanceTo(nowMicros);
        attempts.requestAccepted(number);
        String requestClass = request.requestClass();
        monitor.requestAccepted(number, classes.get(requestClass), nowMicros + request.timeoutMicros());
        router.onRequest(nowMicros, DecisionMapper.request(nowMicros, number, classes.indexOf(requestClass), request));
        return actions.take();
    }

    /** Returns whether an attempt that is abandoned at {@code abandonAtMicros} may be written now, and if not, why. */
    public AttemptVerdict mayBegin(long nowMicros, RouterAction.Send attempt, Exchange exchange, long abandonAtMicros) {
        return AttemptRules.evaluate(new AttemptRules.Facts(
                nowMicros,
                exchange.isOver(),
                !exchange.isClientWaiting(),
                abandonAtMicros,
                attempt.beginByMicros(),
                drainingHosts.contains(attempt.host())));
    }

    /**
     * Records that the first byte of an attempt is about to be written. Must be called before the write.
     *
     * @param timeoutMicros the execution time limit that is sent to the host
     */
    public List<RouterAction> attemptStarted(long nowMicros, RouterAction.Send attempt, long timeoutMicros) {
        actions.recordViolations(monitor.attemptStarted(
                nowMicros, attempt.request(), attempt.attempt(), attempt.host(), timeoutMicros, drainGraceMicros));
        return actions.take();
    }

    /** Records that the client is sent the final response to its request, or the first part of it. */
    public List<RouterAction> responseStarted(long nowMicros, long request) {
        actions.recordViolations(monitor.requestAnswered(nowMicros, request));
        return actions.take();
    }

    /** Handles an event. */
    public List<RouterAction> handle(long nowMicros, RouterEvent event) {
        timers.advanceTo(nowMicros);
        event.accept(nowMicros, eventHandler);
        return actions.take();
    }

    /** Runs the timers that are due. */
    public List<RouterAction> fireTimers(long nowMicros) {
        timers.advanceTo(nowMicros);
        for (String timer = timers.pollDue(); timer != null; timer = timers.pollDue()) {
            router.onTimer(nowMicros, timer);
        }
        return actions.take();
    }

    /** Returns the time at which {@link #fireTimers} is due, or {@link Long#MAX_VALUE} if no timer is running. */
    public long nextTimerMicros() {
        return timers.nextDueMicros();
    }

    /** Gives up all in-flight requests: each receives its final response now, regardless of its remaining time. */
    public List<RouterAction> shutDown(long nowMicros) {
        timers.advanceTo(nowMicros);
        router.onShutdown(nowMicros);
        return actions.take();
    }

    /** Passes events to the decision module and to the invariant checks. */
    private final class EventHandler implements RouterEvent.Visitor {
        @Override
        public void attemptEnded(long nowMicros, RouterEvent.AttemptEnded event) {
            if (!attempts.attemptEnded(event.request(), event.requestOver())) {
                return;
            }
            AttemptOutcome outcome = DecisionMapper.outcome(event.end());
            monitor.attemptEnded(event.request(), event.attempt(), !outcome.hadNoEffect());
            router.onAttemptEnded(nowMicros, DecisionMapper.result(event, outcome));
            attempts.removeIfDone(event.request());
        }

        @Override
        public void replyStarted(long nowMicros, RouterEvent.ReplyStarted event) {
            if (!attempts.attemptEnded(event.request(), true)) {
                return;
            }
            monitor.attemptEnded(event.request(), event.attempt(), true);
            router.onReplyStarted(nowMicros, DecisionMapper.result(event));
            attempts.removeIfDone(event.request());
        }

        @Override
        public void replyEnded(long nowMicros, RouterEvent.ReplyEnded event) {
            router.onReplyEnded(nowMicros, DecisionMapper.result(event));
        }

        @Override
        public void healthCheckEnded(long nowMicros, RouterEvent.HealthCheckEnded event) {
            router.onHealthCheckEnded(
                    nowMicros,
                    event.host(),
                    DecisionMapper.outcome(event.end()),
                    event.latencyMicros(),
                    DecisionMapper.status(event.report()));
        }

        @Override
        public void clientDisconnected(long nowMicros, RouterEvent.ClientDisconnected event) {
            monitor.requestClosed(event.request());
            if (attempts.requestOver(event.request())) {
                router.onClientDisconnected(nowMicros, event.request());
                attempts.removeIfDone(event.request());
            }
        }

        @Override
        public void fleetSizeChanged(long nowMicros, RouterEvent.FleetSizeChanged event) {
            router.onFleetSize(nowMicros, new FleetSize(event.largest(), event.counted(), event.settled()));
        }

        @Override
        public void endpointsUpdated(long nowMicros, RouterEvent.EndpointsUpdated event) {
            updateDrainingHosts(nowMicros, event.list());
            router.onEndpoints(
                    nowMicros,
                    DecisionMapper.updateType(event.list(), event.cached()),
                    DecisionMapper.endpoints(event.list()));
        }

        private void updateDrainingHosts(long nowMicros, EndpointList list) {
            if (list.isSnapshot()) {
                drainingHosts.clear();
            }
            for (EndpointList.Entry entry : list.entries()) {
                boolean draining = entry.state() == EndpointList.State.DRAINING;
                monitor.hostListed(nowMicros, entry.host(), draining);
                if (draining) {
                    drainingHosts.add(entry.host());
                } else {
                    drainingHosts.remove(entry.host());
                }
            }
        }
    }
}
