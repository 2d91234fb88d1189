package mintstair.decision;

import java.util.List;
import java.util.Random;
import mintstair.request.GiveUpReason;

/**
 * The decisions of one router: which endpoint serves a request, whether it is tried again, whether it is rejected.
 *
 * <p>A write goes to the primary. A read goes to a random replica whose known position has reached what the read has to
 * see, which is the last write of its session or the present less the staleness bound, else to the primary. A request
 * for which there is no capacity waits in the queue of its replica set; one that has waited for too long, or may not be
 * tried again, gets its final answer at once. docs/design.md lists the departures from this and their conditions.
 *
 * <p>A router may be one of hundreds with little traffic each: what acts on hardly any evidence acts with a probability
 * in proportion to this router's own requests, so that the sum over all routers is right.
 *
 * <p>All times are microseconds; a clock that goes back is taken to stand. Not safe for use by several threads.
 */
public final class ReadWriteSplitter implements Router {
    private final RouterActions actions;
    private final RouterClock clock;
    private final TickTimer ticks;
    private final RequestRate requestRate;
    private final FleetShare fleetShare = new FleetShare();
    private final RequestClassTable classes = new RequestClassTable();
    private final PooledLimits pooled;
    private final ListSubscription subscription;
    private final EndpointDirectory directory;
    private final FailureDetector failureDetector;
    private final SlowStartController slowStarts;
    private final PositionClock positions = new PositionClock();
    private final ReplicationMonitor replication = new ReplicationMonitor();
    private final SessionTokens tokens = new SessionTokens();
    private final RequestDemand demand = new RequestDemand();
    private final RequestWork requestWork = new RequestWork();
    private final HostThroughput throughput = new HostThroughput();
    private final SlowStartBudget slowStartBudget;
    private final HealthChecker healthChecker;
    private final RequestAcceptor acceptor;
    private final EndpointSelector selector;
    private final HedgingPolicy hedging;
    private final RetryPolicy retries;
    private final LoadFeedback load;
    private final AttemptObserver observer;
    private final OpenRequests requests;
    private RouterSettings settings;

    /**
     * Starts a router that knows no endpoint yet; throws {@link InvalidSettingsException} on settings that make no
     * sense.
     */
    public ReadWriteSplitter(long now, long seed, RouterSettings settings, RouterActions actions) {
        this.actions = actions;
        Random random = new Random(seed);
        clock = new RouterClock(now);
        ticks = new TickTimer(actions);
        requestRate = new RequestRate(now);
        acceptor = new RequestAcceptor(this::settings, classes, requestRate, fleetShare, tokens, requestWork, random);
        adopt(now, settings);
        pooled = PooledLimits.create(fleetShare.effectiveFleetSize());
        subscription = new ListSubscription(actions, random);
        slowStartBudget = new SlowStartBudget(this::settings, fleetShare, this::countReplicaSets, demand, throughput);
        slowStarts = new SlowStartController(this::settings, positions, actions);
        failureDetector = new FailureDetector(
                this::settings, classes, clock, positions, slowStarts, actions, this::moveAttemptsFrom);
        ReplicaFreshness freshness = new ReplicaFreshness(positions, replication, failureDetector);
        ReplicaSelector replicas = new ReplicaSelector(this::settings, freshness, slowStartBudget, random);
        healthChecker = new HealthChecker(this::settings, classes, requestRate, freshness, random, actions);
        PrimaryTracker primaries = new PrimaryTracker(this::settings, fleetShare, positions, healthChecker, actions);
        directory = new EndpointDirectory(this::settings, fleetShare, pooled, slowStarts, primaries, random);
        selector = new EndpointSelector(
                this::settings,
                directory,
                classes,
                requestRate,
                primaries,
                new PrimaryAdmission(this::settings, pooled, slowStartBudget),
                replicas,
                slowStartBudget,
                freshness,
                healthChecker);
        AnswerLossEstimator answerLoss = new AnswerLossEstimator(pooled);
        hedging = new HedgingPolicy(clock, answerLoss);
        retries = new RetryPolicy(this::settings, pooled);
        requests = new OpenRequests(this::settings, retries, actions);
        load = new LoadFeedback(clock, replicas, requestWork, answerLoss);
        observer = new AttemptObserver(
                this::settings,
                clock,
                positions,
                directory,
                failureDetector,
                primaries,
                replication,
                freshness,
                load,
                throughput,
                tokens,
                actions);
        subscription.start(settings);
    }

    private int countReplicaSets() {
        return directory.replicaSets().size();
    }

    private RouterSettings settings() {
        return settings;
    }

    /** Adopts these settings whole or not at all. */
    private void adopt(long now, RouterSettings changed) {
        changed.validate();
        settings = changed;
        fleetShare.apply(changed);
        classes.apply(changed);
        acceptor.apply(now, changed);
    }

    /** The number of equal parts of which this router has one, of what all routers share. */
    double effectiveFleetSize() {
        return fleetShare.effectiveFleetSize();
    }

    // ---- settings and endpoints ----

    @Override
    public void onSettings(long at, RouterSettings changed) {
        long now = clock.advance(at);
        adopt(now, changed);
        pooled.setFleetSize(fleetShare.effectiveFleetSize());
        directory.settingsChanged(now);
        actions.log("settings changed: " + classes.size() + " classes");
    }

    @Override
    public void onFleetSize(long at, FleetSize size) {
        clock.advance(at);
        fleetShare.observe(size);
    }

    @Override
    public void onEndpoints(long at, EndpointUpdateType type, List<EndpointEntry> entries) {
        long now = clock.advance(at);
        if (type == EndpointUpdateType.FAILED) {
            subscription.failed();
            return;
        }
        if (type != EndpointUpdateType.CACHED) {
            subscription.succeeded();
        }
        directory.update(now, type, entries);
        for (ReplicaSet replicaSet : directory.replicaSets()) {
            servePending(now, replicaSet);
        }
        ticks.schedule(now, now + TickTimer.INTERVAL_MICROS);
    }

    @Override
    public int unavailableEndpoints(long now) {
        return directory.countUnavailable(now);
    }

    // ---- the way of a request ----

    @Override
    public void onRequest(long at, RoutingRequest request) {
        long now = clock.advance(at);
        retries.requestArrived(requestRate.perSecond(now));
        healthChecker.requestArrived(now);
        requestRate.requestArrived(now);
        InFlightRequest accepted = acceptor.accept(now, request);
        demand.requestArrived(now, accepted);
        replicaSetOf(accepted).demand.requestArrived(now, accepted);
        observeThroughput(now);
        requests.add(accepted);
        dispatch(now, accepted);
    }

    private void observeThroughput(long now) {
        if (throughput.isDue(now)) {
            directory.updateThroughput(now, throughput);
        }
    }

    /**
     * Sends the request, or has it wait, or gives it up where its client has no time left: it gets its answer all the
     * same.
     */
    private void dispatch(long now, InFlightRequest request) {
        Endpoint endpoint = selector.choose(now, request);
        if (endpoint != null) {
            send(now, request, endpoint);
        } else if (RetryPolicy.isOutOfTime(now, request)) {
            requests.giveUp(now, request, GiveUpReason.OUT_OF_TIME);
        } else if (!request.queued) {
            request.queued = true;
            request.queuedAt = now;
            replicaSetOf(request).pending.add(request);
            ticks.schedule(now, now + TickTimer.INTERVAL_MICROS);
        }
    }

    private ReplicaSet replicaSetOf(InFlightRequest request) {
        return directory.replicaSet(request.request.replicaSet());
    }

    private void send(long now, InFlightRequest request, Endpoint endpoint) {
        request.attemptStarted(now, endpoint);
        failureDetector.accrueMissedReplies(now, endpoint);
        endpoint.inFlight++;
        slowStartBudget.attemptSent(now, endpoint, request);
        actions.send(
                request.request.id(), endpoint.name, RetryPolicy.abandonAt(request), RetryPolicy.beginBy(now, request));
        ticks.schedule(now, hedging.stuckAt(request));
    }

    @Override
    public void onAttemptEnded(long at, AttemptResult result) {
        InFlightRequest request = requests.get(result.id());
        if (request == null || !request.isOutstanding(result.attempt())) {
            return;
        }
        long now = clock.advance(at);
        Endpoint endpoint = request.endpointOf(result.attempt());
        request.attemptEnded(result.attempt());
        failureDetector.accrueMissedReplies(now, endpoint);
        endpoint.inFlight--;
        observer.attemptEnded(now, endpoint, request, result);
        if (!request.isFinished()) {
            if (result.finished()) {
                requests.finish(request);
            } else {
                tryAgain(now, request, result);
            }
        }
        requests.removeIfDone(request);
        servePending(now, endpoint.replicaSet);
    }

    private void tryAgain(long now, InFlightRequest request, AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        if (!outcome.hadNoEffect()) {
            request.markMayHaveRun(result.attempt());
        }
        if (request.outstanding() > 0) {
            return;
        }
        if (outcome == AttemptOutcome.ERROR) {
            // What failed at the primary may be proven elsewhere before it meets the same fault again.
            request.pollRounds = 0;
        }
        boolean worthless = request.isWorthlessWhenLate() && now >= request.objectiveEnd();
        if (worthless) {
            requests.giveUp(now, request, GiveUpReason.OUT_OF_TIME);
        } else if (!retries.canSend(now, request)) {
            requests.giveUp(now, request, retries.giveUpReason(now, request));
        } else if (!retries.tryAcquireAfter(outcome)) {
            requests.giveUp(now, request, GiveUpReason.RETRY_BUDGET);
        } else {
            dispatch(now, request);
        }
    }

    @Override
    public void onClientDisconnected(long at, long id) {
        clock.advance(at);
        InFlightRequest request = requests.get(id);
        if (request != null && !request.isFinished()) {
            requests.finish(request);
        }
    }

    @Override
    public void onShutdown(long at) {
        for (InFlightRequest request : List.copyOf(requests.all())) {
            if (!request.isFinished()) {
                requests.giveUp(clock.advance(at), request, GiveUpReason.SHUTDOWN);
            }
        }
    }

    /** Those that wait, of the highest priority first: sent as capacity appears, given up in time. */
    private void servePending(long now, ReplicaSet replicaSet) {
        boolean hasPrimary = replicaSet.hasUsablePrimary();
        for (InFlightRequest request : QueueingPolicy.takeAllByPriority(replicaSet)) {
            request.queued = false;
            if (request.isFinished()) {
                continue;
            }
            // The deduplication window of a retry may have closed while it waited.
            boolean canSend = retries.canSend(now, request);
            Endpoint endpoint = canSend ? selector.choose(now, request) : null;
            if (endpoint != null) {
                send(now, request, endpoint);
            } else if (!canSend) {
                requests.giveUp(now, request, retries.giveUpReason(now, request));
            } else if (now >= QueueingPolicy.queueDeadline(request, hasPrimary)) {
                requests.giveUp(now, request, request.heldBackReason);
            } else {
                request.queued = true;
                replicaSet.pending.add(request);
            }
        }
    }

    // ---- health checks, timers, stuck attempts ----

    @Override
    public void onHealthCheckEnded(
            long at, String host, AttemptOutcome outcome, long latency, ReplicationStatus status) {
        long now = clock.advance(at);
        Endpoint endpoint = directory.endpoint(host);
        if (endpoint != null) {
            observer.healthCheckEnded(now, endpoint, outcome, latency, status);
            servePending(now, endpoint.replicaSet);
        }
    }

    @Override
    public void onTimer(long at, String name) {
        long now = clock.advance(at);
        subscription.timerFired(name);
        if (ticks.isDue(now, name)) {
            clock.timerFired(now, ticks.beginTick());
            tick(now);
        }
    }

    private void tick(long now) {
        slowStarts.logEnded(now);
        sendTimedChecks(now);
        double patience = classes.replyTimeout();
        for (InFlightRequest request : requests.all()) {
            if (!request.isFinished() && request.outstanding() > 0) {
                checkNewestAttempt(now, request, patience);
            }
        }
        for (ReplicaSet replicaSet : directory.replicaSets()) {
            servePending(now, replicaSet);
            if (!replicaSet.pending.isEmpty()) {
                ticks.schedule(now, now + TickTimer.INTERVAL_MICROS);
            }
        }
    }

    private void sendTimedChecks(long now) {
        long interval = healthChecker.interval(now, directory.endpoints().size());
        if (HealthChecker.isPeriodic(interval)) {
            for (Endpoint endpoint : directory.endpoints()) {
                healthChecker.checkIfDue(now, endpoint, interval);
            }
            ticks.schedule(now, now + TickTimer.INTERVAL_MICROS);
        }
    }

    private void checkNewestAttempt(long now, InFlightRequest request, double patience) {
        Endpoint endpoint = request.lastEndpoint();
        failureDetector.checkForMissedReplies(now, endpoint, patience);
        load.recordIfLate(now, request);
        boolean stuck = now >= hedging.stuckAt(request) && request.outstanding() == 1;
        if (stuck && retries.hasBudget()) {
            moveFrom(now, request, endpoint);
        }
        ticks.schedule(now, Math.max(now + 2 * TickTimer.INTERVAL_MICROS, hedging.stuckAt(request)));
    }

    /** The endpoint has become unresponsive: what is in flight there is tried elsewhere, as far as it may be. */
    private void moveAttemptsFrom(long now, Endpoint endpoint) {
        for (InFlightRequest request : requests.all()) {
            if (!request.isFinished() && request.isOutstandingAt(endpoint)) {
                moveFrom(now, request, endpoint);
            }
        }
    }

    /** Tries the request elsewhere, by a hedged attempt or by cancelling the one that is out. */
    private void moveFrom(long now, InFlightRequest request, Endpoint from) {
        if (!RetryPolicy.canHedge(request) || !retries.canSend(now, request) || !retries.hasBudget()) {
            return;
        }
        if (settings.limits().hedging() && request.isRepeatable()) {
            Endpoint other = selector.choose(now, request);
            if (other != null && other != from && retries.tryAcquire()) {
                send(now, request, other);
            }
        } else if (settings.limits().cancellation() && hedging.canCancelAt(from) && retries.tryAcquire()) {
            requests.cancelAttempts(request);
        }
    }

    /** Nothing is asked of peers: their messages may be lost, and each router decides on its own. */
    @Override
    public void onPeerMessage(long now, int from, String text) {}
}
