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
 * Plays a seeded schedule of requests and faults against the decision module, in virtual time, and records every action
 * that the module takes. The same seed and settings always give the same events as long as the module's actions are the
 * same, so the record of a changed module differs from the first action on that was decided otherwise.
 */
final class DecisionSchedule implements RouterActions {
    private static final long MS = RouterFixture.MS;
    private static final long START = 1_000_000_000L;
    private static final long LENGTH = 30_000 * MS;
    private static final int GROUPS = 2;
    private static final int HOSTS_A_GROUP = 5;
    private static final int SESSIONS = 40;
    private static final long FAULT_EVERY = 250 * MS;
    private static final long OUT_OF_REACH_AFTER = 250 * MS;

    private enum Mode {
        UP,
        HUNG,
        DOWN,
        FAILING,
        SLOW,
        CROWDED
    }

    private record Event(long at, long number, Runnable action) {}

    private record AttemptKey(long id, int attempt) {}

    private static final class SimulatedHost {
        final String name;
        final int group;
        Mode mode = Mode.UP;
        EndpointState listed = EndpointState.SERVING;
        long lag;
        long lastStart;

        SimulatedHost(String name, int group) {
            this.name = name;
            this.group = group;
        }
    }

    private static final class OpenRequest {
        final RoutingRequest request;
        final long deadline;
        int attempts;
        boolean over;

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
    private final SimulatedHost[] primaries = new SimulatedHost[GROUPS];
    private final Map<Long, OpenRequest> requests = new LinkedHashMap<>();
    private final Map<AttemptKey, SimulatedHost> attemptsOut = new HashMap<>();
    private final List<String> record = new ArrayList<>();
    private final Router router;
    private long now = START;
    private long nextEvent;
    private long nextRequest;
    private int hostsMade;
    private int played;
    private double requestsPerSecond = 150;

    DecisionSchedule(long seed, RouterSettings settings) {
        this.settings = settings;
        random = new Random(seed);
        for (int group = 0; group < GROUPS; group++) {
            for (int i = 0; i < HOSTS_A_GROUP; i++) {
                addHost(group);
            }
            primaries[group] = members(group).get(0);
        }
        router = new ReadWriteSplitter(now, seed, settings, this);
        router.onEndpoints(now, EndpointUpdateType.SNAPSHOT, entries());
    }

    /** Plays the schedule to its end; returns one line for each action, with its time. */
    List<String> play() {
        after(0, this::arrival);
        after(FAULT_EVERY, this::fault);
        long end = START + LENGTH;
        while (!events.isEmpty() && events.peek().at() < end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.action().run();
            played++;
        }
        router.onShutdown(now);
        note("avoided " + router.unavailableEndpoints(now));
        return record;
    }

    /** How many events were played. */
    int played() {
        return played;
    }

    private void after(long wait, Runnable action) {
        events.add(new Event(now + Math.max(0, wait), nextEvent++, action));
    }

    private void note(String action) {
        record.add((now - START) + " " + action);
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private long exponential(double mean) {
        return (long) (-mean * Math.log(1 - random.nextDouble()));
    }

    private SimulatedHost addHost(int group) {
        SimulatedHost host = new SimulatedHost("db" + hostsMade++, group);
        hosts.put(host.name, host);
        return host;
    }

    private List<SimulatedHost> members(int group) {
        return hosts.values().stream().filter(host -> host.group == group).toList();
    }

    private SimulatedHost anyHost() {
        return List.copyOf(hosts.values()).get(random.nextInt(hosts.size()));
    }

    private List<EndpointEntry> entries() {
        return hosts.values().stream().map(this::entry).toList();
    }

    private EndpointEntry entry(SimulatedHost host) {
        boolean primary = primaries[host.group] == host;
        return new EndpointEntry(host.name, primary, "z", host.group, host.listed, 1, host.lastStart);
    }

    // ---- clients ----

    private void arrival() {
        long id = nextRequest++;
        int classIndex = random.nextInt(settings.classes().size());
        long patience = chance(0.03)
                ? random.nextInt(30_000)
                : settings.classes().get(classIndex).deadlineMicros();
        String session = chance(0.8) ? "session" + random.nextInt(SESSIONS) : null;
        int tenant = random.nextInt(settings.tenants().size() + 1) - 1;
        long tokenAge = chance(0.5) ? random.nextInt(400_000) : Positions.UNKNOWN;
        String pinned = chance(0.02) ? anyHost().name : null;
        RoutingRequest request = new RoutingRequest(
                id, classIndex, random.nextInt(GROUPS), session, tenant, chance(0.05), patience, tokenAge, pinned);
        requests.put(id, new OpenRequest(request, now + patience));
        router.onRequest(now, request);
        if (chance(0.03)) {
            after(exponential(200 * MS), () -> hangUp(id));
        }
        after(exponential(1e6 / requestsPerSecond), this::arrival);
    }

    private void hangUp(long id) {
        OpenRequest open = requests.get(id);
        if (!open.over) {
            open.over = true;
            router.onClientDisconnected(now, id);
        }
    }

    // ---- faults ----

    private void fault() {
        SimulatedHost host = anyHost();
        switch (random.nextInt(16)) {
            case 0 -> host.mode = Mode.HUNG;
            case 1 -> host.mode = Mode.DOWN;
            case 2 -> host.mode = Mode.FAILING;
            case 3 -> host.mode = Mode.SLOW;
            case 4 -> host.mode = Mode.CROWDED;
            case 5, 6, 7 -> heal();
            case 8 -> changePrimary(host.group);
            case 9 -> host.lag = random.nextInt(3_000_000);
            case 10 -> tellState(host, EndpointState.DRAINING);
            case 11 -> tellState(host, EndpointState.REMOVED);
            case 12 -> restart(host);
            case 13 -> tellList();
            case 14 -> requestsPerSecond = 20 + random.nextInt(400);
            default -> other();
        }
        after(exponential(FAULT_EVERY), this::fault);
    }

    private void heal() {
        for (SimulatedHost host : hosts.values()) {
            host.mode = chance(0.7) ? Mode.UP : host.mode;
            host.lag = chance(0.7) ? random.nextInt(40_000) : host.lag;
        }
    }

    private void changePrimary(int group) {
        List<SimulatedHost> members = members(group);
        primaries[group] = members.get(random.nextInt(members.size()));
    }

    private void tellState(SimulatedHost host, EndpointState state) {
        host.listed = state;
        router.onEndpoints(now, EndpointUpdateType.DELTA, List.of(entry(host)));
        after(exponential(3_000 * MS), () -> restart(host));
    }

    private void restart(SimulatedHost host) {
        host.mode = Mode.UP;
        host.listed = EndpointState.SERVING;
        host.lastStart = chance(0.8) ? now : 0;
        router.onEndpoints(now, EndpointUpdateType.DELTA, List.of(entry(host)));
    }

    private void tellList() {
        EndpointUpdateType[] kinds = EndpointUpdateType.values();
        EndpointUpdateType kind = kinds[random.nextInt(kinds.length)];
        router.onEndpoints(now, kind, kind == EndpointUpdateType.FAILED ? List.of() : entries());
    }

    private void other() {
        switch (random.nextInt(5)) {
            case 0 -> now += random.nextInt(400_000);
            case 1 -> router.onSettings(now, changedSettings());
            case 2 ->
                router.onFleetSize(now, new FleetSize(1 + random.nextInt(40), 1 + random.nextInt(20), chance(0.5)));
            case 3 -> replaceHost();
            default -> router.onTimer(now - random.nextInt(50_000), "tick");
        }
    }

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
        SimulatedHost gone = anyHost();
        if (members(gone.group).size() > 2) {
            hosts.remove(gone.name);
            addHost(gone.group).lastStart = now;
            if (primaries[gone.group] == gone) {
                changePrimary(gone.group);
            }
            router.onEndpoints(now, EndpointUpdateType.SNAPSHOT, entries());
        }
    }

    // ---- the module's actions ----

    @Override
    public void send(long id, String name, long abandonAt, long beginBy) {
        note("send " + id + " " + name + " " + abandonAt + " " + beginBy);
        OpenRequest open = requests.get(id);
        AttemptKey key = new AttemptKey(id, open.attempts++);
        SimulatedHost host = hosts.getOrDefault(name, new SimulatedHost(name, -1));
        long until = abandonAt > 0 ? Math.min(abandonAt, open.deadline) : open.deadline;
        attemptsOut.put(key, host);
        long sentAt = now;
        long latency = latency(host);
        boolean late = now + latency > until;
        AttemptOutcome outcome = late ? AttemptOutcome.TIMEOUT : ending(host, open);
        after(late ? until - now : latency, () -> end(key, outcome, sentAt));
    }

    private long latency(SimulatedHost host) {
        long usual = 5 * MS + exponential(25 * MS);
        return switch (host.mode) {
            case HUNG -> Long.MAX_VALUE / 8;
            case SLOW -> 8 * usual;
            case DOWN, CROWDED -> MS;
            default -> usual;
        };
    }

    private AttemptOutcome ending(SimulatedHost host, OpenRequest open) {
        if (host.group < 0 || host.mode == Mode.DOWN) {
            return chance(0.8) ? AttemptOutcome.UNREACHABLE : AttemptOutcome.CONNECTION_RESET;
        }
        if (host.mode == Mode.CROWDED && chance(0.5)) {
            return AttemptOutcome.OVERLOADED;
        }
        if (host.mode == Mode.FAILING && chance(0.6)) {
            return AttemptOutcome.ERROR;
        }
        if (settings.replicaReadCheck() != ReplicaReadCheck.NONE
                && host.lag > 150 * MS
                && open.request.classIndex() < 2) {
            return AttemptOutcome.MISDIRECTED;
        }
        if (chance(0.01)) {
            return chance(0.5) ? AttemptOutcome.CONNECTION_RESET : AttemptOutcome.NOT_SENT;
        }
        return AttemptOutcome.SUCCESS;
    }

    private void end(AttemptKey key, AttemptOutcome outcome, long sentAt) {
        SimulatedHost host = attemptsOut.remove(key);
        if (host == null) {
            return;
        }
        OpenRequest open = requests.get(key.id());
        boolean answered = outcome == AttemptOutcome.SUCCESS
                || outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.OVERLOADED
                || outcome == AttemptOutcome.MISDIRECTED;
        open.over |= outcome == AttemptOutcome.SUCCESS;
        ReplicationRole role = answered && chance(0.9) ? role(host) : ReplicationRole.UNKNOWN;
        long position = answered && chance(0.7) ? position(host) : Positions.UNKNOWN;
        router.onAttemptEnded(
                now,
                new AttemptResult(
                        key.id(), key.attempt(), host.name, outcome, now - sentAt, open.over, role, position));
    }

    private ReplicationRole role(SimulatedHost host) {
        return host.group >= 0 && primaries[host.group] == host ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
    }

    private long position(SimulatedHost host) {
        return role(host) == ReplicationRole.PRIMARY ? now : now - host.lag;
    }

    @Override
    public void cancel(long id, int attempt) {
        note("cancel " + id + " " + attempt);
        long sentAt = now;
        after(MS, () -> end(new AttemptKey(id, attempt), AttemptOutcome.CANCELLED, sentAt));
    }

    @Override
    public void reject(long id, long retryAfterMicros) {
        note("refuse " + id + " " + retryAfterMicros);
        requests.get(id).over = true;
    }

    @Override
    public void fail(long id) {
        note("fail " + id);
        requests.get(id).over = true;
    }

    @Override
    public void checkHealth(String name) {
        note("probe " + name);
        SimulatedHost host = hosts.get(name);
        if (host == null || host.mode == Mode.DOWN || (host.mode == Mode.HUNG && chance(0.5))) {
            AttemptOutcome outcome = chance(0.7)
                    ? AttemptOutcome.UNREACHABLE
                    : chance(0.5) ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECTION_RESET;
            after(OUT_OF_REACH_AFTER, () -> router.onHealthCheckEnded(now, name, outcome, OUT_OF_REACH_AFTER, null));
        } else if (chance(0.03)) {
            AttemptOutcome outcome = chance(0.5) ? AttemptOutcome.ERROR : AttemptOutcome.NOT_SENT;
            after(MS, () -> router.onHealthCheckEnded(now, name, outcome, MS, null));
        } else {
            long latency = MS + random.nextInt(2_000);
            ReplicationStatus report =
                    new ReplicationStatus(chance(0.95) ? position(host) : Positions.UNKNOWN, role(host));
            after(latency, () -> router.onHealthCheckEnded(now, name, AttemptOutcome.SUCCESS, latency, report));
        }
    }

    @Override
    public void startTimer(String name, long delayMicros) {
        note("timer " + name + " " + delayMicros);
        after(delayMicros, () -> router.onTimer(now, name));
    }

    @Override
    public void subscribe() {
        note("subscribe");
    }

    @Override
    public void broadcast(String text) {
        note("tellPeers " + text);
    }

    /** Lines for people may change without another decision, so they are no part of the record. */
    @Override
    public void log(String text) {}
}
