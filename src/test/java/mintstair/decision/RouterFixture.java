package mintstair.decision;

import java.util.ArrayList;
import java.util.List;
import mintstair.request.ReplicationRole;

/** A router under test: settings that a test may alter, a clock, and the actions it took. */
final class RouterFixture implements RouterActions {
    static final int BOUNDED_READ = 0;
    static final int SESSION_READ = 1;
    static final int NON_IDEMPOTENT_WRITE = 2;
    static final int IDEMPOTENCY_KEY_WRITE = 3;
    static final int EVENTUAL_READ = 4;
    static final long MS = 1_000;
    /** Until when clients wait, where a test says nothing else. */
    static final long CLIENT_TIMEOUT_MICROS = 2_500 * MS;

    /** One attempt as sent. */
    record SentAttempt(long requestId, String host, long abandonAt, long beginBy, long sentAt) {}

    final List<SentAttempt> sentAttempts = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> retryAfters = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelledAttempts = new ArrayList<>();
    final List<String> healthChecks = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final StringBuilder trace = new StringBuilder();
    int subscriptions;
    int answeredHealthChecks;
    ReplicaReadCheck replicaReadCheck = ReplicaReadCheck.NONE;
    boolean remembersSessionTokens;
    boolean removalIsAdvisory;
    boolean hedging = true;
    int fleetSize = 1;
    long seed = 7;
    boolean hasSharedSession = true;
    int maxAttempts = 6;
    /** Of all classes, and for repeats of keyed writes, where not 0. */
    long deadlineOverride;

    long deduplicationWindowOverride;
    long now = 1_000_000_000L;
    Router router;

    RouterFixture start() {
        router = new ReadWriteSplitter(now, seed, settings(), this);
        return this;
    }

    RouterSettings settings() {
        List<RequestClass> classes = List.of(
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
        if (deadlineOverride > 0) {
            classes = classes.stream()
                    .map(c -> new RequestClass(
                            c.name(),
                            c.consistency(),
                            c.idempotency(),
                            c.deduplicationScope(),
                            c.maxStalenessMicros(),
                            Math.min(c.latencyObjectiveMicros(), deadlineOverride),
                            deadlineOverride,
                            c.deduplicationWindowMicros() > 0 ? deduplicationWindowOverride : 0,
                            c.priorityWeight(),
                            c.lateWeight()))
                    .toList();
        }
        return new RouterSettings(
                fleetSize,
                0,
                "z",
                classes,
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

    /** Group 0: primary p, replicas r1 to r3, all up to date and known to be. */
    RouterFixture listReplicaSet() {
        updateEndpoints(
                EndpointUpdateType.SNAPSHOT,
                servingEntry("p"),
                servingEntry("r1"),
                servingEntry("r2"),
                servingEntry("r3"));
        answerHealthCheck("p", now, ReplicationRole.PRIMARY);
        for (String r : List.of("r1", "r2", "r3")) {
            answerHealthCheck(r, now, ReplicationRole.REPLICA);
        }
        return this;
    }

    static EndpointEntry servingEntry(String host) {
        return new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, 0);
    }

    void updateEndpoints(EndpointUpdateType kind, EndpointEntry... entries) {
        router.onEndpoints(now, kind, List.of(entries));
    }

    void updateState(String host, EndpointState state) {
        updateEndpoints(EndpointUpdateType.DELTA, new EndpointEntry(host, false, "z", 0, state, 1, 0));
    }

    void answerHealthCheck(String host, long position, ReplicationRole role) {
        router.onHealthCheckEnded(now, host, AttemptOutcome.SUCCESS, 500, new ReplicationStatus(position, role));
    }

    /** Answers all polls that are out, and those asked for upon that, with positions so far back. */
    void answerHealthChecks(long behind) {
        for (; answeredHealthChecks < healthChecks.size(); answeredHealthChecks++) {
            now += MS;
            answerHealthCheck(
                    healthChecks.get(answeredHealthChecks),
                    now - behind,
                    healthChecks.get(answeredHealthChecks).equals("p")
                            ? ReplicationRole.PRIMARY
                            : ReplicationRole.REPLICA);
        }
    }

    /** Answers the polls that are out, but for those to one host, which are lost. */
    void answerHealthChecksExcept(String lost) {
        for (; answeredHealthChecks < healthChecks.size(); answeredHealthChecks++) {
            String h = healthChecks.get(answeredHealthChecks);
            if (h.equals(lost)) {
                router.onHealthCheckEnded(now, h, AttemptOutcome.TIMEOUT, 250 * MS, null);
            } else {
                answerHealthCheck(h, now - 50 * MS, h.equals("p") ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
            }
        }
    }

    void sendRequest(long id, int kind) {
        sendRequest(id, kind, CLIENT_TIMEOUT_MICROS, Positions.UNKNOWN);
    }

    void sendRequest(long id, int kind, long patience, long tokenAge) {
        router.onRequest(now, new RoutingRequest(id, kind, 0, session(id), 0, false, patience, tokenAge));
    }

    private String session(long id) {
        return hasSharedSession ? "session" : "session " + seed + "/" + id;
    }

    void endAttempt(SentAttempt s, int attempt, AttemptOutcome outcome, ReplicationRole role, long position) {
        router.onAttemptEnded(
                now,
                new AttemptResult(
                        s.requestId,
                        attempt,
                        s.host,
                        outcome,
                        now - s.sentAt,
                        outcome == AttemptOutcome.SUCCESS,
                        role,
                        position));
    }

    void endAttempt(SentAttempt s, int attempt, AttemptOutcome outcome) {
        ReplicationRole role = s.host.equals("p") ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
        boolean tells = outcome == AttemptOutcome.SUCCESS
                || outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.OVERLOADED;
        endAttempt(s, attempt, outcome, tells ? role : ReplicationRole.UNKNOWN, Positions.UNKNOWN);
    }

    /** Lets time go on in ticks, without any event but the timers. */
    void advance(long time) {
        for (long end = now + time; now < end; ) {
            now += 20 * MS;
            router.onTimer(now, "tick");
        }
    }

    List<SentAttempt> attemptsOf(long id) {
        return sentAttempts.stream().filter(s -> s.requestId == id).toList();
    }

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
