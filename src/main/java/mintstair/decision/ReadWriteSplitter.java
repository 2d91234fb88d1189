package mintstair.decision;

import java.util.List;
import java.util.Random;
import mintstair.request.GiveUpReason;

/**
 * Makes the decisions of one router: which endpoint serves a request, and whether the request is retried or rejected.
 *
 * <p>A write is sent to the primary. A read is sent to a random replica whose known position has reached the one that
 * the read must see, which is that of the last write of its session, or the current position minus the staleness bound.
 * If there is no such replica, the read is sent to the primary. A request for which there is no capacity waits in the
 * queue of its replica set. One that has waited for too long, or must not be retried, gets its final response at once.
 * docs/design.md lists the exceptions to this and their conditions.
 *
 * <p>A router may be one of hundreds with little traffic each. Decisions that are based on little evidence are
 * therefore taken with a probability proportional to this router's own requests, so that the sum over all routers is
 * right.
 *
 * <p>Times are in microseconds. If the clock is set back, time stands still until it has caught up. Not safe for use by
 * several threads.
 */
public final class ReadWriteSplitter implements Router {
    private final RouterActions actions;
    private final RouterClock clock;
    private final TickTimer ticks;
    private final RequestRate requestRate;
    private final FleetShare fleetShare = new FleetShare();
    private final RequestClassTable classes = new RequestClassTable();
    private final PooledLimits pooledLimits;
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
    private final StreamedReplyObserver streams;
    private final OpenRequests requests;
    private RouterSettings settings;

    /**
     * Creates a router without endpoints, which subscribes to the endpoint list if the settings say so.
     *
     * @throws InvalidSettingsException if no router can work with the settings
     */
    public ReadWriteSplitter(long now, long seed, RouterSettings settings, RouterActions actions) {
        this.actions = actions;
        Random random = new Random(seed);
        clock = new RouterClock(now);
        ticks = new TickTimer(actions);
        requestRate = new RequestRate(now);
        acceptor = new RequestAcceptor(this::settings, classes, requestRate, fleetShare, tokens, requestWork, random);
        applySettings(now, settings);
        pooledLimits = PooledLimits.create(fleetShare.effectiveFleetSize());
        subscription = new ListSubscription(actions, random);
        slowStartBudget = new SlowStartBudget(this::settings, fleetShare, this::countReplicaSets, demand, throughput);
        slowStarts = new SlowStartController(this::settings, positions, actions);
        failureDetector = new FailureDetector(
                this::settings, classes, clock, positions, slowStarts, actions, this::retryAttemptsAt);
        ReplicaFreshness freshness = new ReplicaFreshness(positions, replication, failureDetector);
        ReplicaSelector replicas = new ReplicaSelector(this::settings, freshness, slowStartBudget, random);
        healthChecker = new HealthChecker(this::settings, classes, requestRate, freshness, random, actions);
        PrimaryTracker primaries = new PrimaryTracker(this::settings, fleetShare, positions, healthChecker, actions);
        directory = new EndpointDirectory(this::settings, fleetShare, pooledLimits, slowStarts, primaries, random);
        selector = new EndpointSelector(
                this::settings,
                directory,
                classes,
                requestRate,
                primaries,
                new PrimaryAdmission(this::settings, pooledLimits, slowStartBudget),
                replicas,
                slowStartBudget,
                freshness,
                healthChecker);
        AnswerLossEstimator answerLoss = new AnswerLossEstimator(pooledLimits);
        hedging = new HedgingPolicy(clock, answerLoss);
        retries = new RetryPolicy(this::settings, pooledLimits);
        requests = new OpenRequests(this::settings, retries, actions);
        load = new LoadFeedback(clock, replicas, requestWork, answerLoss);
        PositionReports reports =
                new PositionReports(this::settings, positions, replication, freshness, directory, actions);
        SessionCommits commits = new SessionCommits(positions, tokens);
        observer =
                new AttemptObserver(clock, positions, failureDetector, primaries, reports, load, throughput, commits);
        streams = new StreamedReplyObserver(positions, directory, primaries, reports, commits, healthChecker);
        subscription.start(settings);
    }

    private int countReplicaSets() {
        return directory.replicaSets().size();
    }

    private RouterSettings settings() {
        return settings;
    }

    /** Applies these settings; if they are invalid, throws and changes nothing. */
    private void applySettings(long now, RouterSettings newSettings) {
        newSettings.validate();
        settings = newSettings;
        fleetShare.apply(newSettings);
        classes.apply(newSettings);
        acceptor.apply(now, newSettings);
    }

    /** Returns the number of equal parts into which shared capacity is divided; this router has one of them. */
    double effectiveFleetSize() {
        return fleetShare.effectiveFleetSize();
    }

    // ---- settings and endpoints ----

    @Override
    public void onSettings(long at, RouterSettings newSettings) {
        long now = clock.advance(at);
        applySettings(now, newSettings);
        pooledLimits.setFleetSize(fleetShare.effectiveFleetSize());
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

    // ---- requests and attempts ----

    @Override
    public void onRequest(long at, RoutingRequest request) {
        long now = clock.advance(at);
        retries.requestArrived(requestRate.perSecond(now));
        healthChecker.requestArrived(now);
        requestRate.requestArrived(now);
        InFlightRequest accepted = acceptor.accept(now, request);
        demand.requestArrived(now, accepted);
        replicaSetOf(accepted).demand.requestArrived(now, accepted);
        updateThroughput(now);
        requests.add(accepted);
        dispatch(now, accepted);
    }

    private void updateThroughput(long now) {
        if (throughput.isDue(now)) {
            directory.updateThroughput(now, throughput);
        }
    }

    /** Sends the request, gives it up if its client has no time left, or adds it to the queue of its replica set. */
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
                retry(now, request, result);
            }
        }
        requests.removeIfDone(request);
        servePending(now, endpoint.replicaSet);
    }

    @Override
    public void onReplyStarted(long at, AttemptResult result) {
        InFlightRequest request = requests.get(result.id());
        if (request != null && request.isOutstanding(result.attempt())) {
            streams.replyStarted(clock.advance(at), request, result.attempt());
        }
        onAttemptEnded(at, result);
    }

    @Override
    public void onReplyEnded(long at, StreamedReplyResult result) {
        long now = clock.advance(at);
        ReplicaSet replicaSet = streams.replyEnded(now, result);
        if (replicaSet != null) {
            servePending(now, replicaSet);
        }
    }

    private void retry(long now, InFlightRequest request, AttemptResult result) {
        AttemptOutcome outcome = result.outcome();
        if (!outcome.hadNoEffect()) {
            request.markMayHaveRun(result.attempt());
        }
        if (request.outstanding() > 0) {
            return;
        }
        if (outcome == AttemptOutcome.ERROR) {
            // The read may poll replicas again, so that one of them can serve it if the primary would fail once more.
            request.pollRounds = 0;
        }
        boolean isWorthless = request.isWorthlessWhenLate() && now >= request.objectiveEnd();
        if (isWorthless) {
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

    /** Sends pending requests in the order of priority while there is capacity, and gives up those that cannot wait. */
    private void servePending(long now, ReplicaSet replicaSet) {
        boolean hasPrimary = replicaSet.hasUsablePrimary();
        for (InFlightRequest request : QueueingPolicy.takeAllByPriority(replicaSet)) {
            request.queued = false;
            if (request.isFinished()) {
                continue;
            }
            // The deduplication window of a retry may have ended while it was queued.
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
        if (healthChecker.checkPeriodically(now, directory.endpoints())) {
            ticks.schedule(now, now + TickTimer.INTERVAL_MICROS);
        }
        double replyTimeout = classes.replyTimeout();
        for (InFlightRequest request : requests.all()) {
            if (!request.isFinished() && request.outstanding() > 0) {
                checkLastAttempt(now, request, replyTimeout);
            }
        }
        for (ReplicaSet replicaSet : directory.replicaSets()) {
            servePending(now, replicaSet);
            if (!replicaSet.pending.isEmpty()) {
                ticks.schedule(now, now + TickTimer.INTERVAL_MICROS);
            }
        }
    }

    private void checkLastAttempt(long now, InFlightRequest request, double replyTimeout) {
        Endpoint endpoint = request.lastEndpoint();
        failureDetector.checkForMissedReplies(now, endpoint, replyTimeout);
        load.recordIfLate(now, request);
        boolean isStuck = now >= hedging.stuckAt(request) && request.outstanding() == 1;
        if (isStuck && retries.hasBudget()) {
            retryElsewhere(now, request, endpoint);
        }
        ticks.schedule(now, Math.max(now + 2 * TickTimer.INTERVAL_MICROS, hedging.stuckAt(request)));
    }

    /** Retries the requests that are in flight at an endpoint elsewhere, because it has become unresponsive. */
    private void retryAttemptsAt(long now, Endpoint endpoint) {
        for (InFlightRequest request : requests.all()) {
            if (!request.isFinished() && request.isOutstandingAt(endpoint)) {
                retryElsewhere(now, request, endpoint);
            }
        }
    }

    /**
     * Retries the request elsewhere, by a hedged attempt or by cancelling the attempt in flight, if that is permitted.
     */
    private void retryElsewhere(long now, InFlightRequest request, Endpoint from) {
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
}
