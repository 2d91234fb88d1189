package mintstair.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import mintstair.config.InstanceSettings;
import mintstair.decision.AttemptOutcome;
import mintstair.decision.AttemptResult;
import mintstair.decision.AttemptRules;
import mintstair.decision.Consistency;
import mintstair.decision.EndpointEntry;
import mintstair.decision.EndpointState;
import mintstair.decision.EndpointUpdateType;
import mintstair.decision.FleetSize;
import mintstair.decision.InvariantMonitor;
import mintstair.decision.Positions;
import mintstair.decision.ReadWriteSplitter;
import mintstair.decision.ReplicationStatus;
import mintstair.decision.RequestClass;
import mintstair.decision.Router;
import mintstair.decision.RouterActions;
import mintstair.decision.RoutingRequest;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.Exchange;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import mintstair.request.ReplicationRole;

/**
 * The decision module in blocking style: each call takes what happened and returns what is to be done now.
 * All calls come from one thread, with the time in Unix microseconds.
 */
public final class RequestRouter {
    private record Alarm(long due, long order, String name) {}

    /** What the module numbers its attempts by, and when it can be forgotten. */
    private static final class Taken {
        int sent;
        int out;
        boolean over;
    }

    private InstanceSettings env;
    private final Router module;
    private final Map<Long, Taken> taken = new HashMap<>();
    private final Set<String> draining = new HashSet<>();
    private final InvariantMonitor monitor = new InvariantMonitor();
    private final PriorityQueue<Alarm> alarms =
            new PriorityQueue<>((a, b) -> a.due != b.due ? Long.compare(a.due, b.due) : Long.compare(a.order, b.order));
    private List<RouterAction> due = new ArrayList<>();
    private long now;
    private long alarmsSet;

    public RequestRouter(long now, long seed, InstanceSettings env) {
        this.env = env;
        this.now = now;
        module = new ReadWriteSplitter(now, seed, env.settings, new Recorder());
    }

    /** Goes over to these settings; what was taken before keeps the class that it was taken with. */
    public List<RouterAction> applySettings(long at, InstanceSettings changed) {
        now = at;
        env = changed;
        module.onSettings(at, changed.settings);
        return takeDue();
    }

    /** Whether the settings know a class of this name. */
    public boolean knowsClass(String requestClass) {
        return env.classes.containsKey(requestClass);
    }

    /** Whether a class of this name is one of writes. */
    public boolean isWrite(String requestClass) {
        return classOf(requestClass).consistency() == Consistency.WRITE;
    }

    /** How long clients wait for an answer of this class, where they do not say, in microseconds. */
    public long deadline(String requestClass) {
        return classOf(requestClass).deadlineMicros();
    }

    private RequestClass classOf(String name) {
        return env.settings.classes().get(env.classes.get(name));
    }

    /** How many of the listed hosts the module keeps requests away from at this time. */
    public int unavailableEndpoints(long at) {
        return module.unavailableEndpoints(at);
    }

    /** Decides on a new request, whose number is used for it from here on. */
    public List<RouterAction> route(long at, long number, ProxyRequest r) {
        now = at;
        taken.put(number, new Taken());
        monitor.taken(number, classOf(r.requestClass()), at + r.timeoutMicros());
        long age = at - r.minimumPositionMicros();
        if (r.minimumPositionMicros() == HostReport.UNKNOWN) {
            age = Positions.UNKNOWN;
        } else if (age == Positions.UNKNOWN) {
            // A commit that a hasty clock puts into the future is a token all the same, not a missing one.
            age--;
        }
        module.onRequest(
                at,
                new RoutingRequest(
                        number,
                        env.classes.get(r.requestClass()),
                        r.cluster(),
                        r.session(),
                        -1,
                        r.clientRetry(),
                        r.timeoutMicros(),
                        age,
                        r.pinned()));
        return takeDue();
    }

    /** Rules whether an attempt may begin now, which is given up at {@code until}. */
    public AttemptVerdict mayBegin(long at, RouterAction.Send send, Exchange exchange, long until) {
        return AttemptRules.rule(new AttemptRules.Facts(
                at, exchange.isOver(), !exchange.isWanted(), until, send.writeBy(), draining.contains(send.host())));
    }

    /** An attempt is about to be written, and its host is told to work for so many microseconds at most. */
    public List<RouterAction> attemptStarted(long at, RouterAction.Send send, long wait) {
        found(monitor.begun(at, send.request(), send.attempt(), send.host(), wait, env.drainGraceMicros));
        return takeDue();
    }

    /** A client was given its final answer, or its first part. */
    public List<RouterAction> responseStarted(long at, long request) {
        found(monitor.answered(at, request));
        return takeDue();
    }

    private void found(List<InvariantMonitor.Finding> findings) {
        for (InvariantMonitor.Finding each : findings) {
            due.add(new RouterAction.InvariantViolated(
                    each.violation().name().toLowerCase(Locale.ROOT), each.request(), each.host()));
        }
    }

    /** Takes in what happened. */
    public List<RouterAction> handle(long at, RouterEvent event) {
        now = at;
        if (event instanceof RouterEvent.AttemptEnded e) {
            Taken t = taken.get(e.request());
            if (t == null) {
                return List.of();
            }
            t.out--;
            t.over |= e.over();
            monitor.ended(e.request(), e.attempt(), !ending(e.end()).hadNoEffect());
            module.onAttemptEnded(
                    at,
                    new AttemptResult(
                            e.request(),
                            e.attempt(),
                            e.host(),
                            ending(e.end()),
                            e.latency(),
                            e.over(),
                            e.report().role(),
                            e.report().position()));
            forget(e.request(), t);
        } else if (event instanceof RouterEvent.HealthCheckEnded e) {
            ReplicationStatus report = e.report().role() == ReplicationRole.UNKNOWN
                    ? null
                    : new ReplicationStatus(e.report().position(), e.report().role());
            module.onHealthCheckEnded(at, e.host(), ending(e.end()), e.latency(), report);
        } else if (event instanceof RouterEvent.ClientDisconnected e) {
            Taken t = taken.get(e.request());
            monitor.over(e.request());
            if (t != null) {
                t.over = true;
                module.onClientDisconnected(at, e.request());
                forget(e.request(), t);
            }
        } else if (event instanceof RouterEvent.FleetSizeChanged e) {
            module.onFleetSize(at, new FleetSize(e.largest(), e.counted(), e.settled()));
        } else if (event instanceof RouterEvent.EndpointsUpdated e) {
            noteDraining(at, e.list());
            List<EndpointEntry> rows = new ArrayList<>();
            for (EndpointList.Entry h : e.list().entries()) {
                rows.add(new EndpointEntry(
                        h.host(), h.primary(), h.zone(), h.cluster(), state(h.state()), h.size(), h.started()));
            }
            EndpointUpdateType kind = e.old()
                    ? EndpointUpdateType.CACHED
                    : e.list().whole() ? EndpointUpdateType.SNAPSHOT : EndpointUpdateType.DELTA;
            module.onEndpoints(at, kind, rows);
        }
        return takeDue();
    }

    private void noteDraining(long at, EndpointList list) {
        if (list.whole()) {
            draining.clear();
        }
        for (EndpointList.Entry host : list.entries()) {
            boolean drains = host.state() == EndpointList.State.DRAINING;
            monitor.listed(at, host.host(), drains);
            if (drains) {
                draining.add(host.host());
            } else {
                draining.remove(host.host());
            }
        }
    }

    /** Lets the time be {@code at}: what was to be looked at by then is. */
    public List<RouterAction> tick(long at) {
        now = at;
        while (!alarms.isEmpty() && alarms.peek().due <= at) {
            module.onTimer(at, alarms.poll().name);
        }
        return takeDue();
    }

    /** Ends all that is held: each request gets its final answer now, whatever time it has left. */
    public List<RouterAction> shutDown(long at) {
        now = at;
        module.onShutdown(at);
        return takeDue();
    }

    /** When {@link #tick} is next to be called; {@link Long#MAX_VALUE} where nothing is due. */
    public long nextTick() {
        return alarms.isEmpty() ? Long.MAX_VALUE : alarms.peek().due;
    }

    private void forget(long request, Taken t) {
        if (t.over && t.out <= 0) {
            taken.remove(request);
        }
    }

    private List<RouterAction> takeDue() {
        List<RouterAction> now = due;
        due = new ArrayList<>();
        return now;
    }

    /** The one place that says what each end of a connection means to the decisions. */
    static AttemptOutcome ending(ConnectionEnd end) {
        return switch (end) {
            case SERVED, SERVED_AND_MORE -> AttemptOutcome.SUCCESS;
            case MISS -> AttemptOutcome.MISDIRECTED;
            case HOST_ERROR, REPORT_UNREADABLE -> AttemptOutcome.ERROR;
            case TURNED_AWAY -> AttemptOutcome.OVERLOADED;
            case CONNECT_FAILED, CONNECT_TIMEOUT, BROKEN_BEFORE_WRITTEN -> AttemptOutcome.UNREACHABLE;
            case BROKEN_AFTER_WRITTEN, GARBLED -> AttemptOutcome.CONNECTION_RESET;
            case TIMED_OUT -> AttemptOutcome.TIMEOUT;
            case CALLED_OFF -> AttemptOutcome.CANCELLED;
            case NEVER_SENT -> AttemptOutcome.NOT_SENT;
        };
    }

    private static EndpointState state(EndpointList.State state) {
        return switch (state) {
            case SERVING -> EndpointState.SERVING;
            case DRAINING -> EndpointState.DRAINING;
            case REMOVED -> EndpointState.REMOVED;
        };
    }

    /** Notes the module's actions until the call that caused them returns them. */
    private final class Recorder implements RouterActions {
        @Override
        public void send(long id, String host, long abandonAt, long beginBy) {
            Taken t = taken.get(id);
            due.add(new RouterAction.Send(id, t.sent++, host, abandonAt, beginBy));
            t.out++;
        }

        @Override
        public void cancel(long id, int attempt) {
            due.add(new RouterAction.Cancel(id, attempt));
        }

        @Override
        public void reject(long id, long retryAfterMicros) {
            due.add(new RouterAction.Reject(id, retryAfterMicros));
            over(id);
        }

        @Override
        public void fail(long id) {
            due.add(new RouterAction.Fail(id));
            over(id);
        }

        private void over(long id) {
            Taken t = taken.get(id);
            t.over = true;
            forget(id, t);
        }

        @Override
        public void checkHealth(String host) {
            due.add(new RouterAction.CheckHealth(host));
        }

        @Override
        public void startTimer(String name, long delayMicros) {
            alarms.add(new Alarm(now + delayMicros, alarmsSet++, name));
        }

        @Override
        public void subscribe() {
            // The watch on discovery asks for changes from the start and by itself, whatever the settings say.
        }

        @Override
        public void broadcast(String text) {
            // Proxies share nothing.
        }

        @Override
        public void log(String text) {
            due.add(new RouterAction.Log(text));
        }
    }
}
