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
 * Simulates routers that share no state, the hosts of one replica set and their clients, in virtual time. A host serves
 * a few requests at a time, queues some more and rejects the rest; clients retry rejected requests. The same seed gives
 * the same events as long as the routers make the same decisions. All times are microseconds.
 */
final class SimulatedDeployment {
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    /** Requests of mean work that a warm host serves per second. */
    static final double HOST_CAPACITY_PER_SECOND = 40;

    private static final long START_MICROS = 1_000_000_000L;
    private static final int WORKERS_PER_HOST = 4;
    private static final int QUEUE_LIMIT = 16;
    private static final long NETWORK_DELAY_MICROS = 1 * MS;
    private static final long CONNECT_TIMEOUT_MICROS = 250 * MS;
    private static final long REPLICATION_LAG_MICROS = 20 * MS;
    private static final int MAX_CLIENT_RETRIES = 2;
    private static final double RETRY_AFTER_HONOURED_PROBABILITY = 0.6;
    private static final int REQUESTS_PER_WRITE = 8;
    private static final int READS_PER_LARGE_READ = 50;
    /** Work of a large read as a multiple of that of any other request. */
    private static final int LARGE_READ_WORK = 16;

    /**
     * An attempt that arrived at a host.
     *
     * @param work its work as a multiple of the mean of all requests
     * @param settings the settings in force when it arrived
     */
    private record Arrival(long at, double work, ProtectionSettings settings) {}

    private record Event(long at, long number, Runnable action) {}

    /** How a host treats the attempts that arrive. */
    enum Mode {
        SERVING,
        REJECTING,
        HANGING,
        UNREACHABLE
    }

    /** One database host and the attempts that arrived at it. */
    final class Host {
        final String name;
        final List<Arrival> arrivals = new ArrayList<>();
        Mode mode = Mode.SERVING;
        boolean primary;
        long startedAt = Long.MIN_VALUE / 2;
        long lag = REPLICATION_LAG_MICROS;
        private final ArrayList<QueuedAttempt> queue = new ArrayList<>();
        private int busyWorkers;
        private int incarnation;

        Host(String name) {
            this.name = name;
        }

        /** Restarts the host, which loses all attempts in progress and begins its slow start. */
        void restart() {
            mode = Mode.SERVING;
            startedAt = now;
            arrivals.clear();
            stop();
        }

        /** Makes the host unreachable; all attempts in progress are lost. */
        void fail() {
            mode = Mode.UNREACHABLE;
            stop();
        }

        private void stop() {
            incarnation++;
            queue.clear();
            busyWorkers = 0;
        }

        /** Returns the share of its capacity that the host has at a time. */
        private double capacityShare(long at, ProtectionSettings protection) {
            double initial = protection.slowStartInitialShare();
            return Math.min(1, initial + (1 - initial) * (at - startedAt) / protection.slowStartMicros());
        }

        private void receive(int classIndex, Runnable onServed, Runnable onRejected) {
            arrivals.add(new Arrival(now, workOf(classIndex) / meanWork(), protection));
            if (mode == Mode.REJECTING || (busyWorkers >= WORKERS_PER_HOST && queue.size() >= QUEUE_LIMIT)) {
                schedule(NETWORK_DELAY_MICROS, onRejected);
            } else if (mode == Mode.SERVING) {
                queue.add(new QueuedAttempt(workOf(classIndex), onServed));
                serveQueue();
            }
        }

        private void serveQueue() {
            while (busyWorkers < WORKERS_PER_HOST && !queue.isEmpty()) {
                QueuedAttempt next = queue.remove(0);
                busyWorkers++;
                int servingIncarnation = incarnation;
                double relativeWork = next.work / meanWork();
                double meanMicrosWhenWarm = relativeWork * WORKERS_PER_HOST / HOST_CAPACITY_PER_SECOND * SECOND;
                double meanMicros = meanMicrosWhenWarm / capacityShare(now, protection);
                schedule((long) (meanMicros * (0.5 + random.nextDouble())), () -> {
                    if (servingIncarnation == incarnation) {
                        busyWorkers--;
                        next.onServed.run();
                        serveQueue();
                    }
                });
            }
        }

        private ReplicationRole role() {
            return primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
        }

        private ReplicationStatus status() {
            return new ReplicationStatus(primary ? now : now - lag, role());
        }

        /**
         * Returns the largest excess over the slow-start budget in any overload span, as a multiple of the random
         * variation that is tolerated: for a budget of N requests, 2 * sqrt(N) + 2, or 3 * sqrt(N) + 3 if N is below
         * 30. Each span is judged by the settings in force at its end, because routers cannot keep to settings that
         * they receive later.
         */
        double worstExcess() {
            double worst = Double.NEGATIVE_INFINITY;
            double workInSpan = 0;
            int first = 0;
            for (Arrival last : arrivals) {
                workInSpan += last.work;
                while (last.at - arrivals.get(first).at >= last.settings.overloadSpanMicros()) {
                    workInSpan -= arrivals.get(first).work;
                    first++;
                }
                if (capacityShare(last.at, last.settings) < 1) {
                    double budget = budget(last);
                    double deviations = budget < 30 ? 3 : 2;
                    worst = Math.max(worst, (workInSpan - budget) / (deviations * Math.sqrt(budget) + deviations));
                }
            }
            return worst;
        }

        /** Returns the requests of mean work that the settings allow in the span that ends with this arrival. */
        private double budget(Arrival last) {
            double capacity = HOST_CAPACITY_PER_SECOND * capacityShare(last.at, last.settings);
            return last.settings.overloadMultiple() * capacity * last.settings.overloadSpanMicros() / SECOND;
        }
    }

    private record QueuedAttempt(double work, Runnable onServed) {}

    /** A client that sends one request to one router, and retries it if it is rejected. */
    private static final class Client {
        final int router;
        final int classIndex;
        int retries;

        Client(int router, int classIndex) {
            this.router = router;
            this.classIndex = classIndex;
        }
    }

    /** A process with one router, which carries out the actions of that router. */
    private final class RouterProcess implements RouterActions {
        final Map<Long, Client> openRequests = new HashMap<>();
        final Map<Long, Integer> attemptsSent = new HashMap<>();
        final Map<Long, Integer> classIndexes = new HashMap<>();
        private final Set<String> endedAttempts = new HashSet<>();
        Router router;
        int incarnation;

        RouterProcess() {
            start();
        }

        /** Starts the process, or restarts it without any state. */
        void start() {
            incarnation++;
            openRequests.clear();
            attemptsSent.clear();
            classIndexes.clear();
            router = new ReadWriteSplitter(now, random.nextLong(), settings, this);
        }

        /** Schedules an action that is dropped if the process has restarted by then. */
        private void scheduleInProcess(long delay, Runnable action) {
            int schedulingIncarnation = incarnation;
            schedule(delay, () -> {
                if (schedulingIncarnation == incarnation) {
                    action.run();
                }
            });
        }

        @Override
        public void send(long id, String name, long abandonAt, long beginBy) {
            int attempt = attemptsSent.merge(id, 1, Integer::sum) - 1;
            Host host = hosts.get(name);
            long sentAt = now;
            if (host.mode == Mode.UNREACHABLE) {
                scheduleInProcess(
                        NETWORK_DELAY_MICROS, () -> endAttempt(id, attempt, host, AttemptOutcome.UNREACHABLE, sentAt));
                return;
            }
            scheduleInProcess(
                    NETWORK_DELAY_MICROS,
                    () -> host.receive(
                            classIndexes.get(id),
                            () -> scheduleInProcess(
                                    NETWORK_DELAY_MICROS,
                                    () -> endAttempt(id, attempt, host, AttemptOutcome.SUCCESS, sentAt)),
                            () -> scheduleInProcess(
                                    0, () -> endAttempt(id, attempt, host, AttemptOutcome.OVERLOADED, sentAt))));
            long timeoutAt = abandonAt > 0 ? abandonAt : now + RouterFixture.CLIENT_TIMEOUT_MICROS;
            scheduleInProcess(timeoutAt - now, () -> endAttempt(id, attempt, host, AttemptOutcome.TIMEOUT, sentAt));
        }

        private void endAttempt(long id, int attempt, Host host, AttemptOutcome outcome, long sentAt) {
            if (!endedAttempts.add(incarnation + "/" + id + "/" + attempt)) {
                return;
            }
            boolean isServed = outcome == AttemptOutcome.SUCCESS;
            boolean hasReply = isServed || outcome == AttemptOutcome.OVERLOADED;
            ReplicationRole role = hasReply ? host.role() : ReplicationRole.UNKNOWN;
            if (isServed && openRequests.remove(id) != null) {
                servedRequests++;
            }
            router.onAttemptEnded(
                    now,
                    new AttemptResult(
                            id,
                            attempt,
                            host.name,
                            outcome,
                            now - sentAt,
                            isServed,
                            role,
                            Positions.UNKNOWN,
                            Positions.UNKNOWN));
        }

        @Override
        public void cancel(long id, int attempt) {
            scheduleInProcess(0, () -> endAttempt(id, attempt, hosts.get("p"), AttemptOutcome.CANCELLED, now));
        }

        @Override
        public void reject(long id, long retryAfterMicros) {
            Client client = openRequests.remove(id);
            if (client != null && client.retries++ < MAX_CLIENT_RETRIES) {
                boolean isHonoured = retryAfterMicros > 0 && random.nextDouble() < RETRY_AFTER_HONOURED_PROBABILITY;
                long delay = isHonoured ? retryAfterMicros : (15 + random.nextInt(100)) * MS;
                schedule(delay, () -> sendRequest(client));
            }
        }

        @Override
        public void fail(long id) {
            openRequests.remove(id);
        }

        @Override
        public void checkHealth(String name) {
            Host host = hosts.get(name);
            switch (host.mode) {
                case UNREACHABLE ->
                    scheduleInProcess(
                            NETWORK_DELAY_MICROS,
                            () -> endHealthCheck(name, AttemptOutcome.UNREACHABLE, NETWORK_DELAY_MICROS, null));
                case HANGING ->
                    scheduleInProcess(
                            CONNECT_TIMEOUT_MICROS,
                            () -> endHealthCheck(name, AttemptOutcome.TIMEOUT, CONNECT_TIMEOUT_MICROS, null));
                default ->
                    scheduleInProcess(
                            2 * NETWORK_DELAY_MICROS,
                            () -> endHealthCheck(
                                    name, AttemptOutcome.SUCCESS, 2 * NETWORK_DELAY_MICROS, host.status()));
            }
        }

        private void endHealthCheck(String name, AttemptOutcome outcome, long latency, ReplicationStatus status) {
            router.onHealthCheckEnded(now, name, outcome, latency, status);
        }

        @Override
        public void startTimer(String name, long delayMicros) {
            scheduleInProcess(delayMicros, () -> router.onTimer(now, name));
        }

        @Override
        public void subscribe() {}

        @Override
        public void broadcast(String text) {}

        @Override
        public void log(String text) {}
    }

    final Map<String, Host> hosts = new LinkedHashMap<>();
    /** Whether some of the reads are large. */
    boolean hasLargeReads;

    long servedRequests;
    /** Requests sent by clients, not counting their retries. */
    long sentRequests;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<RouterProcess> processes = new ArrayList<>();
    /** The share of the requests that each router receives. */
    private final double[] trafficShares;

    private RouterSettings settings;
    private ProtectionSettings protection;
    private double requestsPerSecond;
    private long now = START_MICROS;
    private long nextEventNumber;
    private long lastRequestId;

    /**
     * Creates routers with uneven traffic in front of a primary p and the replicas r1 to r3. Of many routers, the first
     * receives about a third of all requests.
     */
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
        trafficShares = new double[routers];
        double sum = 0;
        for (int i = 0; i < routers; i++) {
            trafficShares[i] = 0.2 + random.nextDouble() + (i == 0 ? routers / 3.0 : 0);
            sum += trafficShares[i];
            processes.add(new RouterProcess());
        }
        for (int i = 0; i < routers; i++) {
            trafficShares[i] /= sum;
        }
        announce(EndpointUpdateType.SNAPSHOT, List.copyOf(hosts.keySet()), EndpointState.SERVING);
        schedule(0, this::generateRequest);
    }

    /** Returns the time since the start of the simulation. */
    long elapsedMicros() {
        return now - START_MICROS;
    }

    /** Returns the largest excess over the slow-start budget of any host, as {@link Host#worstExcess} defines it. */
    double worstExcess() {
        return hosts.values().stream().mapToDouble(Host::worstExcess).max().orElseThrow();
    }

    Host host(String name) {
        return hosts.get(name);
    }

    /** Sets the rate of requests, without retries, as a multiple of the capacity of all hosts when they are warm. */
    void setLoad(double multipleOfCapacity) {
        requestsPerSecond = multipleOfCapacity * HOST_CAPACITY_PER_SECOND * hosts.size();
    }

    /** Multiplies the rate of requests by a factor for a time, after a delay. */
    void scheduleSurge(long delay, long duration, double factor) {
        schedule(delay, () -> requestsPerSecond *= factor);
        schedule(delay + duration, () -> requestsPerSecond /= factor);
    }

    /** Sends an update with these hosts, in this state and with their start times, to all routers within 50 ms. */
    void announce(EndpointUpdateType type, List<String> names, EndpointState state) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (String name : names) {
            long start = Math.max(0, hosts.get(name).startedAt);
            entries.add(new EndpointEntry(name, false, "z", 0, state, 1, start));
        }
        for (RouterProcess process : processes) {
            schedule(random.nextInt(50) * MS, () -> process.router.onEndpoints(now, type, entries));
        }
    }

    /** Restarts all routers without any state, and sends them the endpoint list. */
    void restartRouters() {
        for (RouterProcess process : processes) {
            process.start();
        }
        announce(EndpointUpdateType.SNAPSHOT, List.copyOf(hosts.keySet()), EndpointState.SERVING);
    }

    /** Reloads all routers with other protection settings. */
    void reload(ProtectionSettings newProtection) {
        protection = newProtection;
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
                newProtection,
                settings.limits());
        for (RouterProcess process : processes) {
            process.router.onSettings(now, settings);
        }
    }

    /** Runs the simulation for a time. */
    void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            event.action().run();
        }
        now = end;
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(now + Math.max(0, delay), nextEventNumber++, action));
    }

    /** Sends the request of a new client, and schedules the next one; the intervals are exponentially distributed. */
    private void generateRequest() {
        if (requestsPerSecond > 0) {
            sendRequest(new Client(drawRouter(), drawClass()));
            sentRequests++;
        }
        double meanInterval = SECOND / Math.max(1, requestsPerSecond);
        schedule((long) (-meanInterval * Math.log(1 - random.nextDouble())), this::generateRequest);
    }

    private int drawRouter() {
        double remainder = random.nextDouble();
        int router = 0;
        while (router < trafficShares.length - 1 && remainder >= trafficShares[router]) {
            remainder -= trafficShares[router];
            router++;
        }
        return router;
    }

    private int drawClass() {
        if (random.nextInt(REQUESTS_PER_WRITE) == 0) {
            return RouterFixture.NON_IDEMPOTENT_WRITE;
        }
        if (hasLargeReads && random.nextInt(READS_PER_LARGE_READ) == 0) {
            return RouterFixture.SESSION_READ;
        }
        return random.nextBoolean() ? RouterFixture.EVENTUAL_READ : RouterFixture.BOUNDED_READ;
    }

    private static double workOf(int classIndex) {
        return classIndex == RouterFixture.SESSION_READ ? LARGE_READ_WORK : 1;
    }

    private double meanWork() {
        double largeShare = hasLargeReads ? (1 - 1.0 / REQUESTS_PER_WRITE) / READS_PER_LARGE_READ : 0;
        return 1 + largeShare * (LARGE_READ_WORK - 1);
    }

    private void sendRequest(Client client) {
        RouterProcess process = processes.get(client.router);
        long id = ++lastRequestId;
        process.openRequests.put(id, client);
        process.classIndexes.put(id, client.classIndex);
        String session = "session " + random.nextInt(1_000_000);
        process.router.onRequest(
                now,
                new RoutingRequest(
                        id,
                        client.classIndex,
                        0,
                        session,
                        0,
                        false,
                        RouterFixture.CLIENT_TIMEOUT_MICROS,
                        Positions.UNKNOWN));
    }
}
