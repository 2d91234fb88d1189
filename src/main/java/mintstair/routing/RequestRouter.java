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
 * The decision module as a function: each call reports what happened and returns the actions that follow, in the order
 * in which they are to be executed.
 *
 * <p>All times are microseconds on the event loop's clock, in Unix time. Not safe for use by several threads; calls
 * must not overlap.
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
     * Starts a router that knows no endpoint yet.
     *
     * @param seed of its random draws
     * @throws mintstair.decision.InvalidSettingsException where the settings make no sense
     */
    public RequestRouter(long nowMicros, long seed, InstanceSettings settings) {
        timers = new TimerQueue(nowMicros);
        actions = new ActionRecorder(attempts, timers);
        classes = new RequestClasses(settings);
        drainGraceMicros = settings.drainGraceMicros;
        router = new ReadWriteSplitter(nowMicros, seed, settings.settings, actions);
    }

    /**
     * Switches to other settings; requests that are in flight keep the class that they were accepted with.
     *
     * @throws mintstair.decision.InvalidSettingsException where the settings make no sense
     */
    public List<RouterAction> applySettings(long nowMicros, InstanceSettings changed) {
        timers.advanceTo(nowMicros);
        classes.apply(changed);
        drainGraceMicros = changed.drainGraceMicros;
        router.onSettings(nowMicros, changed.settings);
        return actions.take();
    }

    /** The request classes of the current settings. */
    public RequestClasses classes() {
        return classes;
    }

    /** How many of the listed hosts get no requests, or trial requests at most, at this time. */
    public int unavailableEndpoints(long nowMicros) {
        return router.unavailableEndpoints(nowMicros);
    }

    /** Decides on a new request; {@code number} stands for it in all later calls, events and actions. */
    public List<RouterAction> route(long nowMicros, long number, ProxyRequest request) {
        timers.advanceTo(nowMicros);
        attempts.requestAccepted(number);
        String requestClass = request.requestClass();
        monitor.requestAccepted(number, classes.byName(requestClass), nowMicros + request.timeoutMicros());
        router.onRequest(nowMicros, DecisionMapper.request(nowMicros, number, classes.indexOf(requestClass), request));
        return actions.take();
    }

    /** Decides whether an attempt that is given up at {@code abandonAtMicros} may begin now. */
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
     * The first byte of an attempt is about to be written, with {@code timeoutMicros} as the time that its host may
     * take.
     */
    public List<RouterAction> attemptStarted(long nowMicros, RouterAction.Send attempt, long timeoutMicros) {
        actions.invariantsViolated(monitor.attemptStarted(
                nowMicros, attempt.request(), attempt.attempt(), attempt.host(), timeoutMicros, drainGraceMicros));
        return actions.take();
    }

    /** A client was given its final answer, or the first part of it. */
    public List<RouterAction> responseStarted(long nowMicros, long request) {
        actions.invariantsViolated(monitor.requestAnswered(nowMicros, request));
        return actions.take();
    }

    /** Handles one event. */
    public List<RouterAction> handle(long nowMicros, RouterEvent event) {
        timers.advanceTo(nowMicros);
        event.accept(nowMicros, eventHandler);
        return actions.take();
    }

    /** Fires the timers that are due. */
    public List<RouterAction> fireTimers(long nowMicros) {
        timers.advanceTo(nowMicros);
        for (String timer = timers.pollDue(); timer != null; timer = timers.pollDue()) {
            router.onTimer(nowMicros, timer);
        }
        return actions.take();
    }

    /** When {@link #fireTimers} is next to be called; {@link Long#MAX_VALUE} while no timer runs. */
    public long nextTimerMicros() {
        return timers.nextDueMicros();
    }

    /** Gives up all requests that are in flight: each gets its final answer now, whatever time it has left. */
    public List<RouterAction> shutDown(long nowMicros) {
        timers.advanceTo(nowMicros);
        router.onShutdown(nowMicros);
        return actions.take();
    }

    /** Hands each event to the decision module and to the invariant checks, in their terms. */
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
            updateDraining(nowMicros, event.list());
            router.onEndpoints(
                    nowMicros,
                    DecisionMapper.updateType(event.list(), event.cached()),
                    DecisionMapper.endpoints(event.list()));
        }

        private void updateDraining(long nowMicros, EndpointList list) {
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
