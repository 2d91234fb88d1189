package mintstair.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import mintstair.membership.swim.ConnectionCheckResult;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.MembershipView;
import mintstair.membership.swim.Message;
import mintstair.membership.swim.Swim;
import mintstair.membership.swim.SwimActions;
import mintstair.membership.swim.SwimSettings;

/**
 * A fleet of members in virtual time on a simulated network that loses, delays and partitions. Deterministic for a
 * seed. All times are in microseconds.
 */
public final class SimulatedFleet {
    private static final long START_MICROS = 1_000_000_000L;
    private static final int MAX_BUFFERED_MESSAGES = 200;
    /** A TCP connection and its reply take three one-way delays, each of this at least. */
    private static final int CHECK_DELAYS = 3;

    private static final long MIN_CHECK_DELAY_MICROS = 1_000;
    private static final long AGREEMENT_STEP_MICROS = 100_000;

    /** What the network does with a datagram or a connection from one member to another. */
    public interface Network {
        /** The delay in microseconds; negative if the datagram is lost. */
        long delay(int from, int to, Random random);

        /** Whether connections succeed, if the other end runs. */
        default boolean connects(int from, int to) {
            return true;
        }
    }

    /** One member of the fleet. */
    public final class Node implements SwimActions {
        /** Index of the node, which is also its address. */
        public final int index;

        public final String name;
        public Swim swim;
        /** Whether its process runs. */
        public boolean isRunning;
        /** Messages that it has sent. */
        public long sentMessages;
        /** Whether its machine runs; one that does not does not even refuse connections. */
        private boolean isMachineRunning = true;

        private long stalledUntil;
        private long nextWake = Long.MAX_VALUE;
        /** What arrives while it is stalled, as in a socket's receive buffer. */
        private final List<Message> receiveBuffer = new ArrayList<>();

        Node(int index) {
            this.index = index;
            name = "p" + index;
        }

        @Override
        public void send(String address, Message message) {
            sentMessages++;
            int to = Integer.parseInt(address);
            long delay = network.delay(index, to, random);
            if (delay >= 0) {
                at(nowMicros + delay, () -> nodes.get(to).receive(message));
            }
        }

        private void receive(Message message) {
            if (!isRunning) {
                return;
            }
            if (isStalled()) {
                if (receiveBuffer.size() < MAX_BUFFERED_MESSAGES) {
                    receiveBuffer.add(message);
                }
                return;
            }
            swim.received(nowMicros, message);
            scheduleTick();
        }

        @Override
        public void checkConnection(long sequence, String target, String address) {
            Node to = nodes.get(Integer.parseInt(address));
            Swim requester = swim;
            boolean connectable = connectionsEnabled && network.connects(index, to.index) && to.isMachineRunning;
            long delay = Math.max(MIN_CHECK_DELAY_MICROS, network.delay(index, to.index, random));
            long duration = connectable ? CHECK_DELAYS * delay : Long.MAX_VALUE;
            at(nowMicros + Math.min(duration, ConnectionChecker.TIMEOUT_MICROS), () -> {
                if (isRunning && swim == requester && !isStalled()) {
                    swim.connectionChecked(nowMicros, sequence, checkResult(to, duration));
                }
            });
        }

        private ConnectionCheckResult checkResult(Node to, long duration) {
            if (duration > ConnectionChecker.TIMEOUT_MICROS) {
                return ConnectionCheckResult.UNRESPONSIVE;
            }
            if (!to.isRunning) {
                return ConnectionCheckResult.PROCESS_GONE;
            }
            boolean answers = !to.isStalled() && network.connects(to.index, index);
            return answers ? ConnectionCheckResult.ANSWERED : ConnectionCheckResult.UNRESPONSIVE;
        }

        @Override
        public void memberChanged(GossipUpdate update, MemberState previous) {
            int changed = Integer.parseInt(update.address());
            boolean isWrong = nodes.get(changed).isRunning && update.reporter().equals(name);
            switch (update.state()) {
                case DEAD -> {
                    falseDeaths += isWrong ? 1 : 0;
                    deaths.computeIfAbsent(changed, key -> new HashMap<>()).put(index, nowMicros);
                }
                case SUSPECT -> {
                    falseSuspicions += isWrong ? 1 : 0;
                    suspicions.computeIfAbsent(changed, key -> new HashMap<>()).putIfAbsent(index, nowMicros);
                }
                case ALIVE ->
                    deaths.computeIfAbsent(changed, key -> new HashMap<>()).remove(index);
                default -> {
                    // A member that left was neither suspected nor declared dead.
                }
            }
        }

        private void scheduleTick() {
            long next = Math.max(nowMicros, swim.nextTickMicros());
            if (next < nextWake) {
                nextWake = next;
                at(next, () -> wake(next));
            }
        }

        private void wake(long due) {
            if (!isRunning || nextWake != due) {
                return;
            }
            nextWake = Long.MAX_VALUE;
            if (isStalled()) {
                nextWake = stalledUntil;
                at(stalledUntil, () -> wake(stalledUntil));
                return;
            }
            swim.tick(nowMicros);
            receiveBuffer.forEach(message -> swim.received(nowMicros, message));
            receiveBuffer.clear();
            scheduleTick();
        }

        /** Whether its process is stopped now. */
        public boolean isStalled() {
            return nowMicros < stalledUntil;
        }

        public MembershipView view() {
            return swim.view();
        }
    }

    private record Event(long at, long order, Runnable action) {}

    public final List<Node> nodes = new ArrayList<>();
    /** For each member declared dead: when each other member learned of it. */
    public final Map<Integer, Map<Integer, Long>> deaths = new HashMap<>();
    /** For each member suspected: when each other member learned of it first. */
    public final Map<Integer, Map<Integer, Long>> suspicions = new HashMap<>();
    /** Running members declared dead, counted where they are declared. */
    public long falseDeaths;
    /** Running members suspected, counted where they are suspected. */
    public long falseSuspicions;
    /** The virtual time. */
    public long nowMicros = START_MICROS;

    public Network network;
    /** Whether connections can succeed at all; without, a crashed process is as unresponsive as a partitioned one. */
    public boolean connectionsEnabled = true;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Random random;
    private final SwimSettings settings;
    private long nextOrder;

    /** A fleet with the settings of a local network; its nodes are not started yet. */
    public SimulatedFleet(int size, int configuredSize, double loss, long seed) {
        this(size, SwimSettings.forLocalNetwork(configuredSize), loss, seed);
    }

    public SimulatedFleet(int size, SwimSettings settings, double loss, long seed) {
        random = new Random(seed);
        this.settings = settings;
        network = lossy(loss);
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
        }
    }

    /** A network with half a millisecond of delay that loses this part of the datagrams. */
    public static Network lossy(double loss) {
        return (from, to, random) -> random.nextDouble() < loss ? -1 : 300 + random.nextInt(400);
    }

    /** A lossy network with a partition between the nodes below {@code firstOfOther} and the others. */
    public static Network partitioned(double loss, int firstOfOther) {
        Network lossy = lossy(loss);
        return new Network() {
            @Override
            public long delay(int from, int to, Random random) {
                return connects(from, to) ? lossy.delay(from, to, random) : -1;
            }

            @Override
            public boolean connects(int from, int to) {
                return (from < firstOfOther) == (to < firstOfOther);
            }
        };
    }

    private void at(long when, Runnable action) {
        events.add(new Event(when, nextOrder++, action));
    }

    public SimulatedFleet startAll() {
        nodes.forEach(this::start);
        return this;
    }

    /** Starts a new process, with the first three nodes as seeds. */
    public void start(Node node) {
        start(node, node.name);
    }

    /** Starts a new process under another name than the node's. */
    public void start(Node node, String name) {
        node.isRunning = true;
        node.isMachineRunning = true;
        node.stalledUntil = 0;
        node.receiveBuffer.clear();
        node.nextWake = Long.MAX_VALUE;
        List<String> seeds = List.of("0", "1", "2");
        node.swim = new Swim(nowMicros, random.nextLong(), name, "" + node.index, seeds, settings, node);
        node.scheduleTick();
    }

    /** Ends the process; its machine refuses connections from now on. */
    public void kill(Node node) {
        node.isRunning = false;
    }

    /** Ends the machine. */
    public void failMachine(Node node) {
        node.isRunning = false;
        node.isMachineRunning = false;
    }

    /** Stops the process until this time. */
    public void stall(Node node, long until) {
        node.stalledUntil = until;
    }

    /** Lets this time pass. */
    public void advance(long time) {
        for (long end = nowMicros + time; ; ) {
            Event next = events.peek();
            if (next == null || next.at > end) {
                nowMicros = end;
                return;
            }
            events.poll();
            nowMicros = next.at;
            next.action.run();
        }
    }

    public SwimSettings settings() {
        return settings;
    }

    public List<Node> running() {
        return nodes.stream().filter(node -> node.isRunning).toList();
    }

    /** Whether all running members see exactly each other alive, and nobody suspect. */
    public boolean hasConverged() {
        long others = running().size() - 1L;
        return running().stream()
                .allMatch(node -> count(node, MemberState.ALIVE) == others && count(node, MemberState.SUSPECT) == 0);
    }

    private static long count(Node node, MemberState state) {
        return node.view().peers().stream()
                .filter(peer -> peer.update().state() == state)
                .count();
    }

    /** Lets time pass until all agree; returns how long that took, or -1 if it took longer than {@code limit}. */
    public long awaitConvergence(long limit) {
        for (long start = nowMicros; nowMicros - start <= limit; advance(AGREEMENT_STEP_MICROS)) {
            if (hasConverged()) {
                return nowMicros - start;
            }
        }
        return -1;
    }
}
