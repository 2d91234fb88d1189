package mintstair.proxy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import mintstair.config.InstanceSettings;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.Exchange;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import mintstair.request.Response;
import mintstair.request.ResponseListener;
import mintstair.request.Statement;
import mintstair.routing.RequestClasses;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterAction;
import mintstair.routing.RouterEvent;
import mintstair.stats.Counters;
import mintstair.stats.MetricsSnapshot;

/**
 * Carries requests from the fronts to the router's decisions, those to the hosts, and the answers back.
 * It knows no wire. Everything here runs on the loop.
 */
public final class Dispatcher {
    /** Past its deadline by this much a request that is still held is failed, whatever the reason. */
    private static final long OVERDUE = 10_000;

    private static final long RELEASE = 1_000_000;

    private final EventLoop loop;
    private final RequestRouter router;
    private final Backend backend;
    private final Counters counters;
    private final Consumer<String> log;
    private final Map<Long, Taken> taken = new HashMap<>();
    private final ArrayDeque<RouterAction> work = new ArrayDeque<>();
    private final Set<String> openIds = new HashSet<>();
    private final Set<Integer> clusters = new HashSet<>();
    private final Set<String> serving = new HashSet<>();
    private final Set<String> known = new HashSet<>();
    private boolean working;
    private long numbers;
    private long drainsFrom = Long.MAX_VALUE;
    private long drainBy;
    private Future<?> alarm;
    private long alarmAt = Long.MAX_VALUE;

    /** An exchange, its attempts by number, and the guard of its deadline. */
    private static final class Taken {
        final Exchange exchange;
        final Map<Integer, Backend.Attempt> out = new HashMap<>();
        Future<?> guard;
        boolean closed;
        Backend.Attempt flows;
        /** How its last attempt that has ended did. */
        ConnectionEnd lastEnd;

        Taken(Exchange exchange) {
            this.exchange = exchange;
        }
    }

    /** {@code log} gets the lines for the people on call. */
    public Dispatcher(EventLoop loop, RequestRouter router, Backend backend, Counters counters, Consumer<String> log) {
        this.loop = loop;
        this.router = router;
        this.backend = backend;
        this.counters = counters;
        this.log = log;
    }

    /** What is known of classes; a front asks before it submits. */
    public RequestClasses classes() {
        return router.classes();
    }

    /** Whether some host of this cluster was ever listed. */
    public boolean knowsCluster(int cluster) {
        return clusters.contains(cluster);
    }

    /** This proxy ends soon: what comes after {@code from} must have its answer at {@code by}, and so must all that is held then. */
    public void drainBy(long from, long by) {
        drainsFrom = from;
        drainBy = by;
        loop.at(by, () -> carryOut(router.shutDown(loop.now())));
    }

    /** How long a request that comes now may be held, of the time that it would wait. */
    public long mayHold(long wait) {
        long now = loop.now();
        return now < drainsFrom ? wait : Math.max(1, Math.min(wait, drainBy - now));
    }

    /** Whether a request of this id waits for its final answer. */
    public boolean isOpen(String id) {
        return openIds.contains(id);
    }

    /** Has a host let go of what it holds for a client, if it still takes anything; nobody waits for it. */
    public void release(String host, Statement statement) {
        if (serving.contains(host)) {
            long until = loop.now() + RELEASE;
            backend.send(host, statement, until, until, reply -> {});
        }
    }

    /**
     * Takes a request in; {@code client} gets its one final answer unless the exchange is abandoned.
     *
     * @param waited how many microseconds of its client's time have passed since it was read
     */
    public Exchange submit(ProxyRequest read, long waited, ResponseListener client) {
        long now = loop.now();
        ProxyRequest request = read.afterWaiting(waited);
        Taken t = new Taken(new Exchange(++numbers, request, now, client));
        taken.put(numbers, t);
        openIds.add(request.id());
        counters.requestAccepted();
        t.guard = loop.at(t.exchange.deadlineMicros() + OVERDUE, () -> overdue(t));
        carryOut(router.route(now, numbers, request));
        return t.exchange;
    }

    /** The client of an exchange has left. */
    public void clientGone(Exchange exchange) {
        if (!exchange.isOver()) {
            counters.requestAbandoned();
            exchange.abandon();
            Taken t = taken.get(exchange.number());
            over(t);
            if (t.flows != null) {
                t.flows.cancel();
            }
            carryOut(router.handle(loop.now(), new RouterEvent.ClientDisconnected(exchange.number())));
        }
    }

    /** Goes over to other settings; see {@link RequestRouter#applySettings}. */
    public void settings(InstanceSettings env) {
        env.classes.keySet().forEach(counters::addClass);
        carryOut(router.applySettings(loop.now(), env));
    }

    /** How many proxies there are, as far as this one knows. */
    public void proxies(RouterEvent.FleetSizeChanged proxies) {
        carryOut(router.handle(loop.now(), proxies));
    }

    public void listed(EndpointList list, boolean old) {
        if (list.whole()) {
            serving.clear();
            known.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            clusters.add(entry.cluster());
            if (entry.state() == EndpointList.State.REMOVED) {
                known.remove(entry.host());
            } else {
                known.add(entry.host());
            }
            if (entry.state() == EndpointList.State.SERVING) {
                serving.add(entry.host());
            } else {
                serving.remove(entry.host());
            }
        }
        backend.listed(list);
        carryOut(router.handle(loop.now(), new RouterEvent.EndpointsUpdated(list, old)));
        // A connection may take longer to come up than a leaver may still be sent to.
        backend.failQueuedForUnavailable();
    }

    /** How many requests are held. */
    public int held() {
        int held = 0;
        for (Taken t : taken.values()) {
            held += t.exchange.isOver() ? 0 : 1;
        }
        return held;
    }

    /** Adds what the people on call are told of requests and hosts. */
    public void addTo(MetricsSnapshot.Builder metrics) {
        counters.addTo(metrics);
        metrics.add("in_flight", held())
                .add("db_hosts_known", known.size())
                .add("db_hosts_excluded", router.unavailableEndpoints(loop.now()));
    }

    private void tick() {
        alarmAt = Long.MAX_VALUE;
        carryOut(router.fireTimers(loop.now()));
    }

    private void overdue(Taken t) {
        if (loop.now() < t.exchange.deadlineMicros() + OVERDUE) {
            t.guard = loop.at(t.exchange.deadlineMicros() + OVERDUE, () -> overdue(t));
        } else if (!t.exchange.isOver()) {
            counters.requestOverdue();
            answer(t, new Response.Failed("its time ran out", true));
            carryOut(router.handle(loop.now(), new RouterEvent.ClientDisconnected(t.exchange.number())));
        }
    }

    /** What one directive brings about is carried out after it, in order, not inside it. */
    private void carryOut(List<RouterAction> directives) {
        work.addAll(directives);
        if (working) {
            return;
        }
        working = true;
        try {
            for (RouterAction d = work.poll(); d != null; d = work.poll()) {
                carryOut(d);
            }
        } finally {
            working = false;
        }
        long next = router.nextTimerMicros();
        if (next < alarmAt) {
            if (alarm != null) {
                alarm.cancel(false);
            }
            alarmAt = next;
            alarm = loop.at(next, this::tick);
        }
    }

    private void carryOut(RouterAction directive) {
        if (directive instanceof RouterAction.Send d) {
            send(d);
        } else if (directive instanceof RouterAction.Cancel d) {
            Taken t = taken.get(d.request());
            Backend.Attempt sent = t == null ? null : t.out.get(d.attempt());
            if (sent != null) {
                sent.cancel();
            }
        } else if (directive instanceof RouterAction.Reject d) {
            Taken t = taken.get(d.request());
            if (t != null) {
                answer(t, new Response.Rejected((d.retryAfterMicros() + 999) / 1000));
            }
        } else if (directive instanceof RouterAction.Fail d) {
            Taken t = taken.get(d.request());
            if (t != null) {
                boolean late = loop.now() >= t.exchange.deadlineMicros();
                answer(t, new Response.Failed(late ? "its time ran out" : "no host could serve it", late));
            }
        } else if (directive instanceof RouterAction.CheckHealth d) {
            long sentAt = loop.now();
            counters.healthCheckSent();
            backend.probe(
                    d.host(),
                    reply -> carryOut(router.handle(
                            loop.now(),
                            new RouterEvent.HealthCheckEnded(
                                    d.host(), reply.end(), loop.now() - sentAt, reply.report()))));
        } else if (directive instanceof RouterAction.InvariantViolated d) {
            counters.invariantViolated(d.rule());
            Taken t = taken.get(d.request());
            log.accept("rule broken: " + d.rule() + " request=" + d.request() + " id="
                    + (t == null ? "?" : t.exchange.request().id()) + " host=" + d.host());
        } else if (directive instanceof RouterAction.Log d) {
            log.accept("router: " + d.text());
        }
    }

    private void send(RouterAction.Send d) {
        Taken t = taken.get(d.request());
        long sentAt = loop.now();
        if (t != null && !t.exchange.isWanted()) {
            // It left while this thread was busy, or its leaving is still on its way here.
            clientGone(t.exchange);
        }
        if (t == null) {
            neverSent(sentAt, d, true);
            return;
        }
        long until = d.abandonAtMicros() == 0
                ? t.exchange.deadlineMicros()
                : Math.min(d.abandonAtMicros(), t.exchange.deadlineMicros());
        AttemptVerdict verdict = router.mayBegin(sentAt, d, t.exchange, until);
        if (verdict != AttemptVerdict.MAY_BEGIN) {
            counters.heldBack(verdict);
            neverSent(sentAt, d, t.exchange.isOver());
            return;
        }
        counters.attemptSent();
        if (d.attempt() > 0) {
            counters.retried(t.out.isEmpty() ? t.lastEnd : null);
        }
        boolean[] ended = new boolean[1];
        Backend.Attempt sent = backend.send(
                d.host(), t.exchange.request().statement(), d.beginByMicros(), until, new Backend.AttemptListener() {
                    @Override
                    public void end(HostReply reply) {
                        ended[0] = true;
                        attemptEnded(t, d, sentAt, reply);
                    }

                    @Override
                    public AttemptVerdict mayBegin(long now) {
                        return router.mayBegin(now, d, t.exchange, until);
                    }

                    @Override
                    public void begun(long now, long wait) {
                        carryOut(router.attemptStarted(now, d, wait));
                    }

                    @Override
                    public void part(byte[] bytes, Runnable taken) {
                        attemptGives(t, d, sentAt, bytes, taken);
                    }
                });
        if (!ended[0]) {
            t.out.put(d.attempt(), sent);
        }
    }

    private void neverSent(long now, RouterAction.Send d, boolean over) {
        carryOut(router.handle(
                now,
                new RouterEvent.AttemptEnded(
                        d.request(), d.attempt(), d.host(), ConnectionEnd.NEVER_SENT, 0, over, HostReport.NONE)));
    }

    /** A long answer goes on as it comes. With its first bytes it is the only one, and no deadline counts any more. */
    private void attemptGives(Taken t, RouterAction.Send d, long sentAt, byte[] bytes, Runnable taken) {
        Backend.Attempt sent = t.out.get(d.attempt());
        if (t.flows == null && !t.exchange.isOver()) {
            t.flows = sent;
            t.guard.cancel(false);
            carryOut(router.responseStarted(loop.now(), d.request()));
            // Its host has done the work: how long the client takes to read says nothing of hosts, and keeps none busy.
            carryOut(router.handle(
                    loop.now(),
                    new RouterEvent.AttemptEnded(
                            d.request(),
                            d.attempt(),
                            d.host(),
                            ConnectionEnd.SERVED,
                            loop.now() - sentAt,
                            true,
                            HostReply.of(null).report())));
        }
        if (t.flows == sent) {
            t.exchange.part(bytes, taken);
        } else {
            // Another answer was quicker.
            taken.run();
            sent.cancel();
        }
    }

    private void attemptEnded(Taken t, RouterAction.Send d, long sentAt, HostReply reply) {
        boolean flowed = t.out.remove(d.attempt()) == t.flows && t.flows != null;
        counters.attemptEnded(reply.end());
        t.lastEnd = reply.end();
        if (reply.end().isServed() && (flowed || t.flows == null)) {
            answer(t, new Response.Served(d.host(), reply.body()));
        } else if (flowed && !t.exchange.isOver()) {
            counters.answered(t.exchange.request().requestClass(), new Response.Failed("its host broke off", false));
            t.exchange.cut();
        }
        long now = loop.now();
        boolean over = t.exchange.isOver();
        if (over) {
            over(t);
        }
        if (!flowed) {
            carryOut(router.handle(
                    now,
                    new RouterEvent.AttemptEnded(
                            d.request(),
                            d.attempt(),
                            d.host(),
                            reply.end(),
                            now - sentAt,
                            over || t.flows != null,
                            reply.report())));
        }
    }

    private void answer(Taken t, Response answer) {
        if (t.exchange.answer(answer)) {
            counters.answered(t.exchange.request().requestClass(), answer);
            if (t.flows == null) {
                carryOut(router.responseStarted(loop.now(), t.exchange.number()));
            }
        }
        over(t);
    }

    private void over(Taken t) {
        if (!t.closed) {
            t.closed = true;
            openIds.remove(t.exchange.request().id());
        }
        t.guard.cancel(false);
        if (t.out.isEmpty()) {
            taken.remove(t.exchange.number());
        }
    }
}
