package mintstair.decision;

import java.util.ArrayList;
import java.util.List;
import mintstair.request.ReplicationRole;

/**
 * A router under test with a manual clock. It records the actions that the router takes; tests deliver the router's
 * events through it.
 *
 * <p>Tests alter the fields that are settings before they call {@link #start}. All times are microseconds. Not safe for
 * use by several threads.
 */
final class RouterFixture implements RouterActions {
    // Indexes of the request classes in the settings.
    static final int BOUNDED_READ = 0;
    static final int SESSION_READ = 1;
    static final int NON_IDEMPOTENT_WRITE = 2;
    static final int IDEMPOTENCY_KEY_WRITE = 3;
    static final int EVENTUAL_READ = 4;

    /** One millisecond in microseconds. */
    static final long MS = 1_000;
    /** The time that a client waits for its answer unless the test gives another one. */
    static final long CLIENT_TIMEOUT_MICROS = 2_500 * MS;

    /** An attempt that the router sent, with the time of the clock when it was sent. */
    record SentAttempt(long requestId, String host, long abandonAt, long beginBy, long sentAt) {}

    // ---- recorded actions ----

    final List<SentAttempt> sentAttempts = new ArrayList<>();
    /** The identifiers of the rejected requests. */
    final List<Long> rejected = new ArrayList<>();
    /** The Retry-After times of {@link #rejected}, in the same order. */
    final List<Long> retryAfters = new ArrayList<>();
    /** The identifiers of the failed requests. */
    final List<Long> failed = new ArrayList<>();
    /** The cancelled attempts as "request/attempt". */
    final List<String> cancelledAttempts = new ArrayList<>();
    /** The hosts to which a health check was sent, one entry for each health check. */
    final List<String> healthChecks = new ArrayList<>();

    final List<String> logLines = new ArrayList<>();
    /** One line for each sent attempt, rejected or failed request, health check and timer. */
    final StringBuilder trace = new StringBuilder();

    int subscriptions;
    /** The number of entries of {@link #healthChecks} that have been answered or lost. */
    int answeredHealthChecks;

    // ---- settings ----

    ReplicaReadCheck replicaReadCheck = ReplicaReadCheck.NONE;
    boolean remembersSessionTokens;
    boolean removalIsAdvisory;
    boolean hedging = true;
    int fleetSize = 1;
    long seed = 7;
    int maxAttempts = 6;
    /** The deadline of all request classes; 0 leaves each class its own deadline. */
    long deadlineOverride;
    /** The deduplication window of writes with an idempotency key, where {@link #deadlineOverride} is set. */
    long deduplicationWindowOverride;

    // ---- state ----

    /** Whether all requests belong to one session; otherwise each request has a session of its own. */
    boolean hasSharedSession = true;
    /** The current time of the clock. */
    long now = 1_000_000_000L;

    Router router;

    /** Creates the router with the settings that follow from the fields. */
    RouterFixture start() {
        router = new ReadWriteSplitter(now, seed, settings(), this);
        return this;
    }

    /** Returns the settings that follow from the fields. */
    RouterSettings settings() {
        return new RouterSettings(
                fleetSize,
                0,
                "z",
                requestClasses(),
                List.of(new Tenant("t", 100)),
                0.1,
                remembersSessionTokens,
                replicaReadCheck,
                true,
                false,
                true,
                false,
                0.01,
                0,
                new ProtectionSettings(250 * MS, 0.2, 10_000 * MS, 3, 2_000 * MS, removalIsAdvisory),
                new AttemptLimits(maxAttempts, true, true, false, hedging, true, 500 * MS));
    }

    private List<RequestClass> requestClasses() {
        if (deadlineOverride == 0) {
            return defaultRequestClasses();
        }
        return defaultRequestClasses().stream().map(this::withOverrides).toList();
    }

    private RequestClass withOverrides(RequestClass requestClass) {
        return new RequestClass(
                requestClass.name(),
                requestClass.consistency(),
                requestClass.idempotency(),
                requestClass.deduplicationScope(),
                requestClass.maxStalenessMicros(),
                Math.min(requestClass.latencyObjectiveMicros(), deadlineOverride),
                deadlineOverride,
                requestClass.deduplicationWindowMicros() > 0 ? deduplicationWindowOverride : 0,
                requestClass.priorityWeight(),
                requestClass.lateWeight());
    }

    private static List<RequestClass> defaultRequestClasses() {
        return List.of(
                new RequestClass(
                        "b",
                        Consistency.BOUNDED_STALENESS,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        200 * MS,
                        600 * MS,
                        2500 * MS,
                        0,
                        2,
                        0),
                new RequestClass(
                        "s",
                        Consistency.SESSION,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        400 * MS,
                        1200 * MS,
                        0,
                        3,
                        0),
                new RequestClass(
                        "u",
                        Consistency.WRITE,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        1000 * MS,
                        3000 * MS,
                        0,
                        4,
                        0.5),
                new RequestClass(
                        "k",
                        Consistency.WRITE,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.GROUP,
                        0,
                        750 * MS,
                        5000 * MS,
                        900 * MS,
                        4,
                        0.7),
                new RequestClass(
                        "a",
                        Consistency.EVENTUAL,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        250 * MS,
                        1000 * MS,
                        0,
                        3,
                        0));
    }

    /** Lists replica set 0 with primary p and replicas r1 to r3, each of which reports the current position. */
    RouterFixture listReplicaSet() {
        updateEndpoints(
                EndpointUpdateType.SNAPSHOT,
                servingEntry("p"),
                servingEntry("r1"),
                servingEntry("r2"),
                servingEntry("r3"));
        answerHealthCheck("p", now, ReplicationRole.PRIMARY);
        for (String replica : List.of("r1", "r2", "r3")) {
            answerHealthCheck(replica, now, ReplicationRole.REPLICA);
        }
        return this;
    }

    /** Returns the list entry of a serving host of replica set 0 that started long ago. */
    static EndpointEntry servingEntry(String host) {
        return new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, 0);
    }

    /** Delivers an update of the endpoint list. */
    void updateEndpoints(EndpointUpdateType type, EndpointEntry... entries) {
        router.onEndpoints(now, type, List.of(entries));
    }

    /** Delivers a delta with the state of one host of replica set 0. */
    void updateState(String host, EndpointState state) {
        updateEndpoints(EndpointUpdateType.DELTA, new EndpointEntry(host, false, "z", 0, state, 1, 0));
    }

    /** Delivers the successful end of a health check with this replication status. */
    void answerHealthCheck(String host, long position, ReplicationRole role) {
        router.onHealthCheckEnded(now, host, AttemptOutcome.SUCCESS, 500, new ReplicationStatus(position, role));
    }

    /**
     * Answers all outstanding health checks, including those that the answers cause, one each millisecond.
     *
     * @param lag how far the reported positions are behind the current time
     */
    void answerHealthChecks(long lag) {
        for (; answeredHealthChecks < healthChecks.size(); answeredHealthChecks++) {
            now += MS;
            String host = healthChecks.get(answeredHealthChecks);
            answerHealthCheck(host, now - lag, roleOf(host));
        }
    }

    /** Answers all outstanding health checks except those of {@code unreachableHost}, which time out. */
    void answerHealthChecksExcept(String unreachableHost) {
        for (; answeredHealthChecks < healthChecks.size(); answeredHealthChecks++) {
            String host = healthChecks.get(answeredHealthChecks);
            if (host.equals(unreachableHost)) {
                router.onHealthCheckEnded(now, host, AttemptOutcome.TIMEOUT, 250 * MS, null);
            } else {
                answerHealthCheck(host, now - 50 * MS, roleOf(host));
            }
        }
    }

    private static ReplicationRole roleOf(String host) {
        return host.equals("p") ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
    }

    /** Delivers a request of this class with the default time-out and no session token. */
    void sendRequest(long id, int classIndex) {
        sendRequest(id, classIndex, CLIENT_TIMEOUT_MICROS, Positions.UNKNOWN);
    }

    /** Delivers a request of this class; {@code tokenAge} is the age of its session token. */
    void sendRequest(long id, int classIndex, long timeout, long tokenAge) {
        router.onRequest(now, new RoutingRequest(id, classIndex, 0, session(id), 0, false, timeout, tokenAge));
    }

    private String session(long id) {
        return hasSharedSession ? "session" : "session " + seed + "/" + id;
    }

    /** Delivers the end of an attempt with the role and the exact position that the host reported. */
    void endAttempt(SentAttempt sent, int attempt, AttemptOutcome outcome, ReplicationRole role, long position) {
        endAttempt(sent, attempt, outcome, role, position, position);
    }

    /** Delivers the end of an attempt with the role and the bounds of the position that the host reported. */
    void endAttempt(
            SentAttempt sent,
            int attempt,
            AttemptOutcome outcome,
            ReplicationRole role,
            long appliedPosition,
            long commitPosition) {
        router.onAttemptEnded(
                now,
                new AttemptResult(
                        sent.requestId,
                        attempt,
                        sent.host,
                        outcome,
                        now - sent.sentAt,
                        outcome == AttemptOutcome.SUCCESS,
                        role,
                        appliedPosition,
                        commitPosition));
    }

    /** Delivers the end of an attempt; the host reports its role if it replied, and no position. */
    void endAttempt(SentAttempt sent, int attempt, AttemptOutcome outcome) {
        boolean replied = outcome == AttemptOutcome.SUCCESS
                || outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.OVERLOADED;
        ReplicationRole role = replied ? roleOf(sent.host) : ReplicationRole.UNKNOWN;
        endAttempt(sent, attempt, outcome, role, Positions.UNKNOWN);
    }

    /** Delivers the first part of a streamed reply to an attempt. */
    void startReply(SentAttempt sent, int attempt) {
        router.onReplyStarted(
                now,
                new AttemptResult(
                        sent.requestId,
                        attempt,
                        sent.host,
                        AttemptOutcome.SUCCESS,
                        now - sent.sentAt,
                        true,
                        ReplicationRole.UNKNOWN,
                        Positions.UNKNOWN,
                        Positions.UNKNOWN));
    }

    /** Delivers the end of a streamed reply with the role and the exact position that the host reported. */
    void endReply(SentAttempt sent, AttemptOutcome outcome, ReplicationRole role, long position) {
        router.onReplyEnded(now, new StreamedReplyResult(sent.requestId, outcome, role, position, position));
    }

    /** Advances the clock in ticks of 20 ms, and delivers no event other than the tick timer. */
    void advance(long duration) {
        for (long end = now + duration; now < end; ) {
            now += 20 * MS;
            router.onTimer(now, "tick");
        }
    }

    /** Returns the attempts that were sent for a request, in the order of sending. */
    List<SentAttempt> attemptsOf(long id) {
        return sentAttempts.stream().filter(sent -> sent.requestId == id).toList();
    }

    /** Returns the attempt that was sent last. */
    SentAttempt lastAttempt() {
        return sentAttempts.get(sentAttempts.size() - 1);
    }

    @Override
    public void send(long id, String host, long abandonAt, long beginBy) {
        sentAttempts.add(new SentAttempt(id, host, abandonAt, beginBy, now));
        trace.append("send ").append(id).append(' ').append(host).append('\n');
    }

    @Override
    public void cancel(long id, int attempt) {
        cancelledAttempts.add(id + "/" + attempt);
    }

    @Override
    public void reject(long id, long retryAfterMicros) {
        rejected.add(id);
        retryAfters.add(retryAfterMicros);
        trace.append("refuse ").append(id).append('\n');
    }

    @Override
    public void fail(long id) {
        failed.add(id);
        trace.append("fail ").append(id).append('\n');
    }

    @Override
    public void checkHealth(String host) {
        healthChecks.add(host);
        trace.append("probe ").append(host).append('\n');
    }

    @Override
    public void startTimer(String name, long delayMicros) {
        trace.append("timer ").append(name).append(' ').append(delayMicros).append('\n');
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    @Override
    public void broadcast(String text) {}

    @Override
    public void log(String text) {
        logLines.add(text);
    }
}
