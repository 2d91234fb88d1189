package mintstair.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import mintstair.request.ReplicationRole;

/**
 * Plays a seeded schedule of requests and faults against a router, in virtual time, and records every action that the
 * router takes. As long as the actions stay the same, the same seed and settings give the same events; the records of
 * two versions of the router therefore differ from the first changed action on. All times are microseconds.
 */
final class DecisionSchedule implements RouterActions {
    private static final long MS = RouterFixture.MS;
    private static final long START_MICROS = 1_000_000_000L;
    private static final long DURATION_MICROS = 30_000 * MS;
    private static final int REPLICA_SETS = 2;
    private static final int HOSTS_PER_REPLICA_SET = 5;
    private static final int SESSIONS = 40;
    private static final long MEAN_FAULT_INTERVAL_MICROS = 250 * MS;
    private static final long CONNECT_TIMEOUT_MICROS = 250 * MS;

    /** How a host treats the attempts and polls that it is sent. */
    private enum Mode {
        SERVING,
        HANGING,
        UNREACHABLE,
        FAILING,
        SLOW,
        OVERLOADED
    }

    private record Event(long at, long number, Runnable action) {}

    private record AttemptKey(long id, int attempt) {}

    private static final class SimulatedHost {
        final String name;
        /** Number of its replica set; negative for a host that has been replaced. */
        final int group;

        Mode mode = Mode.SERVING;
        EndpointState listedState = EndpointState.SERVING;
        long lag;
        long startedAt;

        SimulatedHost(String name, int group) {
            this.name = name;
            this.group = group;
        }
    }

    private static final class OpenRequest {
        final RoutingRequest request;
        final long deadline;
        int attemptsSent;
        boolean finished;

        OpenRequest(RoutingRequest request, long deadline) {
            this.request = request;
            this.deadline = deadline;
        }
    }

    private final Random random;
    private final RouterSettings settings;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();
    private final SimulatedHost[] primaries = new SimulatedHost[REPLICA_SETS];
    private final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
    private final Map<AttemptKey, SimulatedHost> attemptsInFlight = new HashMap<>();
    private final List<String> record = new ArrayList<>();
    private final Router router;
    private long now = START_MICROS;
    private long nextEventNumber;
    private long nextRequestId;
    private int nextHostNumber;
    private int eventsPlayed;
    private double requestsPerSecond = 150;

    DecisionSchedule(long seed, RouterSettings settings) {
        this.settings = settings;
        random = new Random(seed);
        for (int group = 0; group < REPLICA_SETS; group++) {
            for (int i = 0; i < HOSTS_PER_REPLICA_SET; i++) {
                addHost(group);
            }
            primaries[group] = hostsOf(group).get(0);
        }
        router = new ReadWriteSplitter(now, seed, settings, this);
        router.onEndpoints(now, EndpointUpdateType.SNAPSHOT, entries());
    }

    /** Plays the schedule to its end and returns one line for each action, with its time since the start. */
    List<String> play() {
        schedule(0, this::generateRequest);
        schedule(MEAN_FAULT_INTERVAL_MICROS, this::generateFault);
        long end = START_MICROS + DURATION_MICROS;
        while (!events.isEmpty() && events.peek().at() < end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.action().run();
            eventsPlayed++;
        }
        router.onShutdown(now);
        recordAction("avoided " + router.unavailableEndpoints(now));
        return record;
    }

    int eventsPlayed() {
        return eventsPlayed;
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(now + Math.max(0, delay), nextEventNumber++, action));
    }

    private void recordAction(String action) {
        record.add((now - START_MICROS) + " " + action);
    }

    private boolean drawBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    private long drawExponential(double mean) {
        return (long) (-mean * Math.log(1 - random.nextDouble()));
    }

    private SimulatedHost addHost(int group) {
        SimulatedHost host = new SimulatedHost("db" + nextHostNumber++, group);
        hosts.put(host.name, host);
        return host;
    }

    private List<SimulatedHost> hostsOf(int group) {
        return hosts.values().stream().filter(host -> host.group == group).toList();
    }

    private SimulatedHost drawHost() {
        return List.copyOf(hosts.values()).get(random.nextInt(hosts.size()));
    }

    private List<EndpointEntry> entries() {
        return hosts.values().stream().map(this::entry).toList();
    }

    private EndpointEntry entry(SimulatedHost host) {
        boolean isPrimary = primaries[host.group] == host;
        return new EndpointEntry(host.name, isPrimary, "z", host.group, host.listedState, 1, host.startedAt);
    }

    // Clients

    /** Sends one request to the router and schedules the next one; the intervals are exponentially distributed. */
    private void generateRequest() {
        long id = nextRequestId++;
        int classIndex = random.nextInt(settings.classes().size());
        long timeoutMicros = drawBoolean(0.03)
                ? random.nextInt(30_000)
                : settings.classes().get(classIndex).deadlineMicros();
        String session = drawBoolean(0.8) ? "session" + random.nextInt(SESSIONS) : null;
        int tenant = random.nextInt(settings.tenants().size() + 1) - 1;
        long tokenAgeMicros = drawBoolean(0.5) ? random.nextInt(400_000) : Positions.UNKNOWN;
        String stickyHost = drawBoolean(0.02) ? drawHost().name : null;
        RoutingRequest request = new RoutingRequest(
                id,
                classIndex,
                random.nextInt(REPLICA_SETS),
                session,
                tenant,
                drawBoolean(0.05),
                timeoutMicros,
                tokenAgeMicros,
                stickyHost);
        requests.put(id, new OpenRequest(request, now + timeoutMicros));
        router.onRequest(now, request);
        if (drawBoolean(0.03)) {
            schedule(drawExponential(200 * MS), () -> disconnect(id));
        }
        schedule(drawExponential(1e6 / requestsPerSecond), this::generateRequest);
    }

    private void disconnect(long id) {
        OpenRequest open = requests.get(id);
        if (!open.finished) {
            open.finished = true;
            router.onClientDisconnected(now, id);
        }
    }

    // Faults

    /** Causes or ends a fault, or changes the deployment otherwise, and schedules the next such event. */
    private void generateFault() {
        SimulatedHost host = drawHost();
        switch (random.nextInt(16)) {
            case 0 -> host.mode = Mode.HANGING;
            case 1 -> host.mode = Mode.UNREACHABLE;
            case 2 -> host.mode = Mode.FAILING;
            case 3 -> host.mode = Mode.SLOW;
            case 4 -> host.mode = Mode.OVERLOADED;
            case 5, 6, 7 -> endSomeFaults();
            case 8 -> changePrimary(host.group);
            case 9 -> host.lag = random.nextInt(3_000_000);
            case 10 -> announceState(host, EndpointState.DRAINING);
            case 11 -> announceState(host, EndpointState.REMOVED);
            case 12 -> restart(host);
            case 13 -> announceList();
            case 14 -> requestsPerSecond = 20 + random.nextInt(400);
            default -> generateRareEvent();
        }
        schedule(drawExponential(MEAN_FAULT_INTERVAL_MICROS), this::generateFault);
    }

    private void endSomeFaults() {
        for (SimulatedHost host : hosts.values()) {
            host.mode = drawBoolean(0.7) ? Mode.SERVING : host.mode;
            host.lag = drawBoolean(0.7) ? random.nextInt(40_000) : host.lag;
        }
    }

    private void changePrimary(int group) {
        List<SimulatedHost> members = hostsOf(group);
        primaries[group] = members.get(random.nextInt(members.size()));
    }

    private void announceState(SimulatedHost host, EndpointState state) {
        host.listedState = state;
        router.onEndpoints(now, EndpointUpdateType.DELTA, List.of(entry(host)));
        schedule(drawExponential(3_000 * MS), () -> restart(host));
    }

    private void restart(SimulatedHost host) {
        host.mode = Mode.SERVING;
        host.listedState = EndpointState.SERVING;
        host.startedAt = drawBoolean(0.8) ? now : 0;
        router.onEndpoints(now, EndpointUpdateType.DELTA, List.of(entry(host)));
    }

    private void announceList() {
        EndpointUpdateType[] types = EndpointUpdateType.values();
        EndpointUpdateType type = types[random.nextInt(types.length)];
        router.onEndpoints(now, type, type == EndpointUpdateType.FAILED ? List.of() : entries());
    }

    private void generateRareEvent() {
        switch (random.nextInt(5)) {
            case 0 -> now += random.nextInt(400_000);
            case 1 -> router.onSettings(now, changedSettings());
            case 2 ->
                router.onFleetSize(
                        now, new FleetSize(1 + random.nextInt(40), 1 + random.nextInt(20), drawBoolean(0.5)));
            case 3 -> replaceHost();
            default -> router.onTimer(now - random.nextInt(50_000), "tick");
        }
    }

    /** Returns settings with the classes and tenants of this schedule, and most of the rest from other settings. */
    private RouterSettings changedSettings() {
        DecisionSettings[] all = DecisionSettings.values();
        RouterSettings other = all[random.nextInt(all.length)].settings();
        return new RouterSettings(
                other.fleetSize(),
                0,
                "z",
                settings.classes(),
                settings.tenants(),
                other.overQuotaWeight(),
                settings.remembersSessionTokens(),
                other.replicaReadCheck(),
                true,
                settings.listReportsRole(),
                true,
                false,
                other.healthCheckCost(),
                0,
                other.protection(),
                other.limits());
    }

    private void replaceHost() {
        SimulatedHost replaced = drawHost();
        if (hostsOf(replaced.group).size() > 2) {
            hosts.remove(replaced.name);
            addHost(replaced.group).startedAt = now;
            if (primaries[replaced.group] == replaced) {
                changePrimary(replaced.group);
            }
            router.onEndpoints(now, EndpointUpdateType.SNAPSHOT, entries());
        }
    }

    // Actions of the router

    @Override
    public void send(long id, String name, long abandonAt, long beginBy) {
        recordAction("send " + id + " " + name + " " + abandonAt + " " + beginBy);
        OpenRequest open = requests.get(id);
        AttemptKey key = new AttemptKey(id, open.attemptsSent++);
        SimulatedHost host = hosts.getOrDefault(name, new SimulatedHost(name, -1));
        long timeoutAt = abandonAt > 0 ? Math.min(abandonAt, open.deadline) : open.deadline;
        attemptsInFlight.put(key, host);
        long sentAt = now;
        long latency = drawLatency(host);
        boolean timesOut = now + latency > timeoutAt;
        AttemptOutcome outcome = timesOut ? AttemptOutcome.TIMEOUT : drawOutcome(host, open);
        schedule(timesOut ? timeoutAt - now : latency, () -> endAttempt(key, outcome, sentAt));
    }

    private long drawLatency(SimulatedHost host) {
        long usual = 5 * MS + drawExponential(25 * MS);
        return switch (host.mode) {
            case HANGING -> Long.MAX_VALUE / 8;
            case SLOW -> 8 * usual;
            case UNREACHABLE, OVERLOADED -> MS;
            default -> usual;
        };
    }

    private AttemptOutcome drawOutcome(SimulatedHost host, OpenRequest open) {
        if (host.group < 0 || host.mode == Mode.UNREACHABLE) {
            return drawBoolean(0.8) ? AttemptOutcome.UNREACHABLE : AttemptOutcome.CONNECTION_RESET;
        }
        if (host.mode == Mode.OVERLOADED && drawBoolean(0.5)) {
            return AttemptOutcome.OVERLOADED;
        }
        if (host.mode == Mode.FAILING && drawBoolean(0.6)) {
            return AttemptOutcome.ERROR;
        }
        if (settings.replicaReadCheck() != ReplicaReadCheck.NONE
                && host.lag > 150 * MS
                && open.request.classIndex() < 2) {
            return AttemptOutcome.MISDIRECTED;
        }
        if (drawBoolean(0.01)) {
            return drawBoolean(0.5) ? AttemptOutcome.CONNECTION_RESET : AttemptOutcome.NOT_SENT;
        }
        return AttemptOutcome.SUCCESS;
    }

    private void endAttempt(AttemptKey key, AttemptOutcome outcome, long sentAt) {
        SimulatedHost host = attemptsInFlight.remove(key);
        if (host == null) {
            return;
        }
        OpenRequest open = requests.get(key.id());
        boolean hasReply = outcome == AttemptOutcome.SUCCESS
                || outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.OVERLOADED
                || outcome == AttemptOutcome.MISDIRECTED;
        open.finished |= outcome == AttemptOutcome.SUCCESS;
        ReplicationRole role = hasReply && drawBoolean(0.9) ? role(host) : ReplicationRole.UNKNOWN;
        long position = hasReply && drawBoolean(0.7) ? position(host) : Positions.UNKNOWN;
        router.onAttemptEnded(
                now,
                new AttemptResult(
                        key.id(),
                        key.attempt(),
                        host.name,
                        outcome,
                        now - sentAt,
                        open.finished,
                        role,
                        position,
                        position));
    }

    private ReplicationRole role(SimulatedHost host) {
        return host.group >= 0 && primaries[host.group] == host ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
    }

    private long position(SimulatedHost host) {
        return role(host) == ReplicationRole.PRIMARY ? now : now - host.lag;
    }

    @Override
    public void cancel(long id, int attempt) {
        recordAction("cancel " + id + " " + attempt);
        long sentAt = now;
        schedule(MS, () -> endAttempt(new AttemptKey(id, attempt), AttemptOutcome.CANCELLED, sentAt));
    }

    @Override
    public void reject(long id, long retryAfterMicros) {
        recordAction("refuse " + id + " " + retryAfterMicros);
        requests.get(id).finished = true;
    }

    @Override
    public void fail(long id) {
        recordAction("fail " + id);
        requests.get(id).finished = true;
    }

    @Override
    public void checkHealth(String name) {
        recordAction("probe " + name);
        SimulatedHost host = hosts.get(name);
        if (host == null || host.mode == Mode.UNREACHABLE || (host.mode == Mode.HANGING && drawBoolean(0.5))) {
            AttemptOutcome outcome = drawConnectFailure();
            schedule(
                    CONNECT_TIMEOUT_MICROS,
                    () -> router.onHealthCheckEnded(now, name, outcome, CONNECT_TIMEOUT_MICROS, null));
        } else if (drawBoolean(0.03)) {
            AttemptOutcome outcome = drawBoolean(0.5) ? AttemptOutcome.ERROR : AttemptOutcome.NOT_SENT;
            schedule(MS, () -> router.onHealthCheckEnded(now, name, outcome, MS, null));
        } else {
            long latency = MS + random.nextInt(2_000);
            ReplicationStatus report =
                    new ReplicationStatus(drawBoolean(0.95) ? position(host) : Positions.UNKNOWN, role(host));
            schedule(latency, () -> router.onHealthCheckEnded(now, name, AttemptOutcome.SUCCESS, latency, report));
        }
    }

    private AttemptOutcome drawConnectFailure() {
        if (drawBoolean(0.7)) {
            return AttemptOutcome.UNREACHABLE;
        }
        return drawBoolean(0.5) ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECTION_RESET;
    }

    @Override
    public void startTimer(String name, long delayMicros) {
        recordAction("timer " + name + " " + delayMicros);
        schedule(delayMicros, () -> router.onTimer(now, name));
    }

    @Override
    public void subscribe() {
        recordAction("subscribe");
    }

    @Override
    public void broadcast(String text) {
        recordAction("tellPeers " + text);
    }

    /** Log lines are not recorded, as their wording may change while the decisions stay the same. */
    @Override
    public void log(String text) {}
}
