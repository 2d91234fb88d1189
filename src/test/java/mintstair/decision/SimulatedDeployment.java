package mintstair.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import mintstair.request.ReplicationRole;

/**
 * Many routers that share nothing, the hosts of one replica set and their clients, in virtual time. Hosts work off what
 * they can, queue a little and reject the rest; clients come again when they are rejected. The same seed gives the same
 * play as long as the routers decide the same.
 */
final class SimulatedDeployment {
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    /** Requests a second that a warm host can do. */
    static final double CAPACITY = 40;

    private static final long START = 1_000_000_000L;
    private static final int SLOTS = 4;
    private static final int QUEUE = 16;
    private static final long NETWORK = 1 * MS;
    private static final long CONNECT_TIMEOUT = 250 * MS;
    private static final long REPLICATION_LAG = 20 * MS;
    private static final int CLIENT_RETRIES = 2;
    private static final double HONOURS_RETRY_AFTER = 0.6;
    /** One request in so many is a write. */
    private static final int WRITE_EVERY = 8;
    /** Of reads, one in so many is large where a play has such, and takes so many times the work of the others. */
    private static final int LARGE_EVERY = 50;

    private static final int LARGE_WORK = 16;

    /** An attempt that arrived at a host, with its work as a multiple of the mean of all requests, and what held then. */
    private record Arrival(long at, double work, ProtectionSettings settings) {}

    private record Event(long at, long number, Runnable action) {}

    /** How a host treats what arrives. */
    enum Mode {
        SERVING,
        REJECTING,
        HANGING,
        UNREACHABLE
    }

    /** One database host, with what it was sent. */
    final class Host {
        final String name;
        final List<Arrival> arrivals = new ArrayList<>();
        Mode mode = Mode.SERVING;
        boolean primary;
        long startedAt = Long.MIN_VALUE / 2;
        long lag = REPLICATION_LAG;
        private final ArrayList<Work> waiting = new ArrayList<>();
        private int working;
        private int incarnation;

        Host(String name) {
            this.name = name;
        }

        /** It starts anew: what it had in work is gone, and it is cold. */
        void restart() {
            mode = Mode.SERVING;
            startedAt = now;
            arrivals.clear();
            stop();
        }

        /** It can't be reached from now on. */
        void fail() {
            mode = Mode.UNREACHABLE;
            stop();
        }

        private void stop() {
            incarnation++;
            waiting.clear();
            working = 0;
        }

        double share(long at) {
            return share(at, protection);
        }

        private double share(long at, ProtectionSettings protection) {
            double cold = protection.slowStartInitialShare();
            return Math.min(1, cold + (1 - cold) * (at - startedAt) / protection.slowStartMicros());
        }

        private void take(int kind, Runnable answer, Runnable rejection) {
            arrivals.add(new Arrival(now, workOf(kind) / meanWork(), protection));
            if (mode == Mode.REJECTING || (working >= SLOTS && waiting.size() >= QUEUE)) {
                after(NETWORK, rejection);
            } else if (mode == Mode.SERVING) {
                waiting.add(new Work(workOf(kind), answer));
                work();
            }
        }

        private void work() {
            while (working < SLOTS && !waiting.isEmpty()) {
                Work next = waiting.remove(0);
                working++;
                int begunIn = incarnation;
                double mean = next.size / meanWork() * SLOTS / CAPACITY * SECOND / share(now);
                after((long) (mean * (0.5 + random.nextDouble())), () -> {
                    if (begunIn == incarnation) {
                        working--;
                        next.answer.run();
                        work();
                    }
                });
            }
        }

        ReplicationStatus status() {
            return new ReplicationStatus(
                    primary ? now : now - lag, primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
        }

        /**
         * The most by which a span of the settings' length was over the budget of N, as a multiple of what is left for
         * chance: 2 x root of N + 2, or 3 x root of N + 3 for N under 30. Each span is judged by the settings that hold
         * at its end: routers can't keep to those that they are given later.
         */
        double worstExcess() {
            double worst = Double.NEGATIVE_INFINITY;
            double work = 0;
            int from = 0;
            for (Arrival last : arrivals) {
                work += last.work;
                while (last.at - arrivals.get(from).at >= last.settings.overloadSpanMicros()) {
                    work -= arrivals.get(from).work;
                    from++;
                }
                if (share(last.at, last.settings) < 1) {
                    double budget = budget(last);
                    double factor = budget < 30 ? 3 : 2;
                    worst = Math.max(worst, (work - budget) / (factor * Math.sqrt(budget) + factor));
                }
            }
            return worst;
        }

        /** Requests of mean work that the settings allow in a span that ends with this one. */
        private double budget(Arrival last) {
            double capacity = CAPACITY * share(last.at, last.settings);
            return last.settings.overloadMultiple() * capacity * last.settings.overloadSpanMicros() / SECOND;
        }
    }

    private record Work(double size, Runnable answer) {}

    private static final class Client {
        final int router;
        final int kind;
        int retries;

        Client(int router, int kind) {
            this.router = router;
            this.kind = kind;
        }
    }

    /** One router with the actions that it takes. */
    private final class Proxy implements RouterActions {
        final Map<Long, Client> open = new HashMap<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        final Map<Long, Integer> kinds = new HashMap<>();
        private final Set<String> endedAttempts = new HashSet<>();
        Router router;
        int incarnation;

        Proxy() {
            start();
        }

        void start() {
            incarnation++;
            open.clear();
            attempts.clear();
            kinds.clear();
            router = new ReadWriteSplitter(now, random.nextLong(), settings, this);
        }

        private void later(long delay, Runnable action) {
            int begunIn = incarnation;
            after(delay, () -> {
                if (begunIn == incarnation) {
                    action.run();
                }
            });
        }

        @Override
        public void send(long id, String name, long abandonAt, long beginBy) {
            int attempt = attempts.merge(id, 1, Integer::sum) - 1;
            Host host = hosts.get(name);
            long sentAt = now;
            if (host.mode == Mode.UNREACHABLE) {
                later(NETWORK, () -> ended(id, attempt, host, AttemptOutcome.UNREACHABLE, sentAt));
                return;
            }
            later(
                    NETWORK,
                    () -> host.take(
                            kinds.get(id),
                            () -> later(NETWORK, () -> ended(id, attempt, host, AttemptOutcome.SUCCESS, sentAt)),
                            () -> later(0, () -> ended(id, attempt, host, AttemptOutcome.OVERLOADED, sentAt))));
            long giveUpAt = abandonAt > 0 ? abandonAt : now + RouterFixture.CLIENT_TIMEOUT_MICROS;
            later(giveUpAt - now, () -> ended(id, attempt, host, AttemptOutcome.TIMEOUT, sentAt));
        }

        private void ended(long id, int attempt, Host host, AttemptOutcome outcome, long sentAt) {
            if (!endedAttempts.add(incarnation + "/" + id + "/" + attempt)) {
                return;
            }
            boolean served = outcome == AttemptOutcome.SUCCESS;
            boolean told = served || outcome == AttemptOutcome.OVERLOADED;
            ReplicationRole role =
                    !told ? ReplicationRole.UNKNOWN : host.primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
            if (served && open.remove(id) != null) {
                servedRequests++;
            }
            router.onAttemptEnded(
                    now,
                    new AttemptResult(id, attempt, host.name, outcome, now - sentAt, served, role, Positions.UNKNOWN));
        }

        @Override
        public void cancel(long id, int attempt) {
            later(0, () -> ended(id, attempt, hosts.get("p"), AttemptOutcome.CANCELLED, now));
        }

        @Override
        public void reject(long id, long retryAfterMicros) {
            Client client = open.remove(id);
            if (client != null && client.retries++ < CLIENT_RETRIES) {
                boolean honours = retryAfterMicros > 0 && random.nextDouble() < HONOURS_RETRY_AFTER;
                after(honours ? retryAfterMicros : (15 + random.nextInt(100)) * MS, () -> ask(client));
            }
        }

        @Override
        public void fail(long id) {
            open.remove(id);
        }

        @Override
        public void checkHealth(String name) {
            Host host = hosts.get(name);
            switch (host.mode) {
                case UNREACHABLE -> later(NETWORK, () -> checked(name, AttemptOutcome.UNREACHABLE, NETWORK, null));
                case HANGING ->
                    later(CONNECT_TIMEOUT, () -> checked(name, AttemptOutcome.TIMEOUT, CONNECT_TIMEOUT, null));
                default -> later(2 * NETWORK, () -> checked(name, AttemptOutcome.SUCCESS, 2 * NETWORK, host.status()));
            }
        }

        private void checked(String name, AttemptOutcome outcome, long latency, ReplicationStatus status) {
            router.onHealthCheckEnded(now, name, outcome, latency, status);
        }

        @Override
        public void startTimer(String name, long delayMicros) {
            later(delayMicros, () -> router.onTimer(now, name));
        }

        @Override
        public void subscribe() {}

        @Override
        public void broadcast(String text) {}

        @Override
        public void log(String text) {}
    }

    final Map<String, Host> hosts = new LinkedHashMap<>();
    /** Whether some reads take many times the work of others. */
    boolean hasLargeReads;

    long servedRequests;
    long askedRequests;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Proxy> proxies = new ArrayList<>();
    private final double[] traffic;
    private RouterSettings settings;
    private ProtectionSettings protection;
    private double requestsPerSecond;
    private long now = START;
    private long nextEvent;
    private long nextRequest;

    /** Routers of uneven traffic, the first with a third of all, in front of a primary p and replicas r1 to r3. */
    SimulatedDeployment(int routers, long seed) {
        random = new Random(seed);
        RouterFixture fixture = new RouterFixture();
        fixture.fleetSize = routers;
        settings = fixture.settings();
        protection = settings.protection();
        for (String name : List.of("p", "r1", "r2", "r3")) {
            hosts.put(name, new Host(name));
        }
        hosts.get("p").primary = true;
        traffic = new double[routers];
        double sum = 0;
        for (int i = 0; i < routers; i++) {
            traffic[i] = 0.2 + random.nextDouble() + (i == 0 ? routers / 3.0 : 0);
            sum += traffic[i];
            proxies.add(new Proxy());
        }
        for (int i = 0; i < routers; i++) {
            traffic[i] /= sum;
        }
        tell(EndpointUpdateType.SNAPSHOT, List.copyOf(hosts.keySet()), EndpointState.SERVING);
        after(0, this::arrival);
    }

    /** The time since the play's start. */
    long time() {
        return now - START;
    }

    /** By how much the host that was most over its budget was so, as {@link Host#worstExcess} tells. */
    double worstExcess() {
        return hosts.values().stream().mapToDouble(Host::worstExcess).max().orElseThrow();
    }

    Host host(String name) {
        return hosts.get(name);
    }

    /** Clients ask so many times what all four warm hosts can do from now on, retries not counted. */
    void load(double ofCapacity) {
        requestsPerSecond = ofCapacity * CAPACITY * hosts.size();
    }

    /** From so long from now on, and for so long, clients ask so many times as much. */
    void crowd(long from, long length, double factor) {
        after(from, () -> requestsPerSecond *= factor);
        after(from + length, () -> requestsPerSecond /= factor);
    }

    /** The list names these hosts with this state, and their starts, to all routers within 50 ms. */
    void tell(EndpointUpdateType type, List<String> names, EndpointState state) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String name : names) {
            long start = Math.max(0, hosts.get(name).startedAt);
            entries.add(new EndpointEntry(name, false, "z", 0, state, 1, start));
        }
        for (Proxy proxy : proxies) {
            after(random.nextInt(50) * MS, () -> proxy.router.onEndpoints(now, type, entries));
        }
    }

    /** All routers start again, with nothing remembered, and the list as it is. */
    void restartRouters() {
        for (Proxy proxy : proxies) {
            proxy.start();
        }
        tell(EndpointUpdateType.SNAPSHOT, List.copyOf(hosts.keySet()), EndpointState.SERVING);
    }

    /** All routers take other figures of the slow start. */
    void reload(ProtectionSettings changed) {
        protection = changed;
        settings = new RouterSettings(
                settings.fleetSize(),
                settings.instanceIndex(),
                settings.zone(),
                settings.classes(),
                settings.tenants(),
                settings.overQuotaWeight(),
                settings.remembersSessionTokens(),
                settings.replicaReadCheck(),
                settings.positionsInResponses(),
                settings.listReportsRole(),
                settings.subscribesToEndpoints(),
                settings.clientsMarkRetries(),
                settings.healthCheckCost(),
                settings.crossZoneCost(),
                changed,
                settings.limits());
        for (Proxy proxy : proxies) {
            proxy.router.onSettings(now, settings);
        }
    }

    /** Lets so much time pass. */
    void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.action().run();
        }
        now = end;
    }

    private void after(long delay, Runnable action) {
        events.add(new Event(now + Math.max(0, delay), nextEvent++, action));
    }

    private void arrival() {
        if (requestsPerSecond > 0) {
            ask(new Client(drawRouter(), drawKind()));
            askedRequests++;
        }
        double mean = SECOND / Math.max(1, requestsPerSecond);
        after((long) (-mean * Math.log(1 - random.nextDouble())), this::arrival);
    }

    private int drawRouter() {
        double left = random.nextDouble();
        int router = 0;
        while (router < traffic.length - 1 && left >= traffic[router]) {
            left -= traffic[router];
            router++;
        }
        return router;
    }

    private int drawKind() {
        if (random.nextInt(WRITE_EVERY) == 0) {
            return RouterFixture.NON_IDEMPOTENT_WRITE;
        }
        if (hasLargeReads && random.nextInt(LARGE_EVERY) == 0) {
            return RouterFixture.SESSION_READ;
        }
        return random.nextBoolean() ? RouterFixture.EVENTUAL_READ : RouterFixture.BOUNDED_READ;
    }

    private static double workOf(int kind) {
        return kind == RouterFixture.SESSION_READ ? LARGE_WORK : 1;
    }

    private double meanWork() {
        double large = hasLargeReads ? (1 - 1.0 / WRITE_EVERY) / LARGE_EVERY : 0;
        return 1 + large * (LARGE_WORK - 1);
    }

    private void ask(Client client) {
        Proxy proxy = proxies.get(client.router);
        long id = ++nextRequest;
        proxy.open.put(id, client);
        proxy.kinds.put(id, client.kind);
        String session = "session " + random.nextInt(1_000_000);
        proxy.router.onRequest(
                now,
                new RoutingRequest(
                        id, client.kind, 0, session, 0, false, RouterFixture.CLIENT_TIMEOUT_MICROS, Positions.UNKNOWN));
    }
}
