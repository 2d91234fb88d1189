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
 * A fleet of members in virtual time on a simulated network with packet loss, delays and partitions. Deterministic for
 * a given seed. All times are in microseconds.
 */
public final class SimulatedFleet {
    private static final long START_MICROS = 1_000_000_000L;
    private static final int MAX_BUFFERED_MESSAGES = 200;
    /** A TCP handshake followed by the reply takes three one-way delays. */
    private static final int CHECK_ONE_WAY_DELAYS = 3;
    /** Minimum one-way delay of a connection check, which also applies where the network loses the datagram. */
    private static final long MIN_CHECK_DELAY_MICROS = 1_000;

    private static final long CONVERGENCE_STEP_MICROS = 100_000;

    /** Defines the delay and loss of datagrams and the success of connections between two members. */
    public interface Network {
        /** Returns the one-way delay in microseconds; negative if the datagram is lost. */
        long delay(int from, int to, Random random);

        /** Returns whether connections succeed if the other process is running. */
        default boolean connects(int from, int to) {
            return true;
        }
    }

    /** One member of the fleet. */
    public final class Node implements SwimActions {
        /** Index in {@link SimulatedFleet#nodes}, which is also the node's address. */
        public final int index;

        public final String name;
        public Swim swim;
        /** Whether the node's process is running; a stalled process is running too. */
        public boolean isRunning;
        /** Number of messages sent by all processes of this node. */
        public long sentMessages;
        /** Whether the node's machine is running; otherwise connections are not even refused. */
        private boolean isMachineRunning = true;

        private long stalledUntilMicros;
        private long scheduledTickMicros = Long.MAX_VALUE;
        /** Messages that arrive while the process is stalled, as in a socket's receive buffer. */
        private final List<Message> receiveBuffer = new ArrayList<>();

        Node(int index) {
            this.index = index;
            name = "p" + index;
        }

        @Override
        public void send(String address, Message message) {
            sentMessages++;
            int to = Integer.parseInt(address);
            long delayMicros = network.delay(index, to, random);
            if (delayMicros >= 0) {
                schedule(nowMicros + delayMicros, () -> nodes.get(to).receive(message));
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
            swim.onMessage(nowMicros, message);
            scheduleTick();
        }

        @Override
        public void checkConnection(long sequence, String target, String address) {
            Node to = nodes.get(Integer.parseInt(address));
            Swim requestingProcess = swim;
            boolean isReachable = connectionsEnabled && network.connects(index, to.index) && to.isMachineRunning;
            long delayMicros = Math.max(MIN_CHECK_DELAY_MICROS, network.delay(index, to.index, random));
            long durationMicros = isReachable ? CHECK_ONE_WAY_DELAYS * delayMicros : Long.MAX_VALUE;
            schedule(nowMicros + Math.min(durationMicros, ConnectionChecker.TIMEOUT_MICROS), () -> {
                if (isRunning && swim == requestingProcess && !isStalled()) {
                    swim.onConnectionChecked(nowMicros, sequence, checkResult(to, durationMicros));
                }
            });
        }

        private ConnectionCheckResult checkResult(Node to, long durationMicros) {
            if (durationMicros > ConnectionChecker.TIMEOUT_MICROS) {
                return ConnectionCheckResult.UNRESPONSIVE;
            }
            if (!to.isRunning) {
                return ConnectionCheckResult.PROCESS_GONE;
            }
            boolean answers = !to.isStalled() && network.connects(to.index, index);
            return answers ? ConnectionCheckResult.ANSWERED : ConnectionCheckResult.UNRESPONSIVE;
        }

        @Override
        public void onMemberChanged(GossipUpdate update, MemberState previous) {
            int changed = Integer.parseInt(update.address());
            boolean isFalsePositive =
                    nodes.get(changed).isRunning && update.reporter().equals(name);
            switch (update.state()) {
                case DEAD -> {
                    falseDeaths += isFalsePositive ? 1 : 0;
                    deaths.computeIfAbsent(changed, key -> new HashMap<>()).put(index, nowMicros);
                }
                case SUSPECT -> {
                    falseSuspicions += isFalsePositive ? 1 : 0;
                    suspicions.computeIfAbsent(changed, key -> new HashMap<>()).putIfAbsent(index, nowMicros);
                }
                case ALIVE ->
                    deaths.computeIfAbsent(changed, key -> new HashMap<>()).remove(index);
                default -> {
                    // A member that has left is neither suspected nor declared dead.
                }
            }
        }

        private void scheduleTick() {
            long next = Math.max(nowMicros, swim.nextTickMicros());
            if (next < scheduledTickMicros) {
                scheduledTickMicros = next;
                schedule(next, () -> runTick(next));
            }
        }

        private void runTick(long dueMicros) {
            if (!isRunning || scheduledTickMicros != dueMicros) {
                return;
            }
            scheduledTickMicros = Long.MAX_VALUE;
            if (isStalled()) {
                scheduledTickMicros = stalledUntilMicros;
                schedule(stalledUntilMicros, () -> runTick(stalledUntilMicros));
                return;
            }
            swim.tick(nowMicros);
            receiveBuffer.forEach(message -> swim.onMessage(nowMicros, message));
            receiveBuffer.clear();
            scheduleTick();
        }

        /** Returns whether the process is stalled at the current virtual time. */
        public boolean isStalled() {
            return nowMicros < stalledUntilMicros;
        }

        public MembershipView view() {
            return swim.view();
        }
    }

    private record Event(long timeMicros, long order, Runnable action) {}

    public final List<Node> nodes = new ArrayList<>();
    /** For each member declared dead, by index: when each other member learned of the death, by index. */
    public final Map<Integer, Map<Integer, Long>> deaths = new HashMap<>();
    /** For each suspected member, by index: when each other member first learned of the suspicion, by index. */
    public final Map<Integer, Map<Integer, Long>> suspicions = new HashMap<>();
    /** Number of deaths declared of members that were running, counted once at the member that declared them. */
    public long falseDeaths;
    /** Number of suspicions of members that were running, counted once at the member that raised them. */
    public long falseSuspicions;
    /** The current virtual time. */
    public long nowMicros = START_MICROS;

    public Network network;
    /** Whether connection checks can succeed; if not, they cannot distinguish a crashed process from a partition. */
    public boolean connectionsEnabled = true;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeMicros).thenComparingLong(Event::order));
    private final Random random;
    private final SwimSettings settings;
    private long nextOrder;

    /** Creates a fleet with the settings for a local network; its nodes are not started yet. */
    public SimulatedFleet(int size, int configuredSize, double loss, long seed) {
        this(size, SwimSettings.forLocalNetwork(configuredSize), loss, seed);
    }

    /** Creates a fleet whose network loses the given share of datagrams; its nodes are not started yet. */
    public SimulatedFleet(int size, SwimSettings settings, double loss, long seed) {
        random = new Random(seed);
        this.settings = settings;
        network = lossy(loss);
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
        }
    }

    /** Returns a network with delays of 0.3 to 0.7 ms that loses the given share of datagrams. */
    public static Network lossy(double loss) {
        return (from, to, random) -> random.nextDouble() < loss ? -1 : 300 + random.nextInt(400);
    }

    /** Returns a lossy network with a partition between the nodes below {@code firstOfFarSide} and the others. */
    public static Network partitioned(double loss, int firstOfFarSide) {
        Network lossy = lossy(loss);
        return new Network() {
            @Override
            public long delay(int from, int to, Random random) {
                return connects(from, to) ? lossy.delay(from, to, random) : -1;
            }

            @Override
            public boolean connects(int from, int to) {
                return (from < firstOfFarSide) == (to < firstOfFarSide);
            }
        };
    }

    private void schedule(long timeMicros, Runnable action) {
        events.add(new Event(timeMicros, nextOrder++, action));
    }

    /** Starts all nodes; returns this fleet. */
    public SimulatedFleet startAll() {
        nodes.forEach(this::start);
        return this;
    }

    /** Starts a new process on the node, with the first three nodes as seeds. */
    public void start(Node node) {
        start(node, node.name);
    }

    /** Starts a new process on the node with the given member name. */
    public void start(Node node, String name) {
        node.isRunning = true;
        node.isMachineRunning = true;
        node.stalledUntilMicros = 0;
        node.receiveBuffer.clear();
        node.scheduledTickMicros = Long.MAX_VALUE;
        List<String> seeds = List.of("0", "1", "2");
        node.swim = new Swim(nowMicros, random.nextLong(), name, "" + node.index, seeds, settings, node);
        node.scheduleTick();
    }

    /** Kills the node's process; its machine refuses connections from then on. */
    public void kill(Node node) {
        node.isRunning = false;
    }

    /** Stops the node's machine, so that connections to it time out. */
    public void failMachine(Node node) {
        node.isRunning = false;
        node.isMachineRunning = false;
    }

    /** Stalls the node's process until the given virtual time. */
    public void stall(Node node, long untilMicros) {
        node.stalledUntilMicros = untilMicros;
    }

    /** Advances the virtual time by the given duration and runs all events due by then. */
    public void advance(long durationMicros) {
        for (long endMicros = nowMicros + durationMicros; ; ) {
            Event next = events.peek();
            if (next == null || next.timeMicros > endMicros) {
                nowMicros = endMicros;
                return;
            }
            events.poll();
            nowMicros = next.timeMicros;
            next.action.run();
        }
    }

    public SwimSettings settings() {
        return settings;
    }

    /** Returns the nodes whose process is running. */
    public List<Node> running() {
        return nodes.stream().filter(node -> node.isRunning).toList();
    }

    /** Returns whether every running member sees as many others alive as are running, and none suspect. */
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

    /**
     * Advances the virtual time until the fleet has converged; returns how long that took, or -1 if it took longer than
     * {@code limitMicros}.
     */
    public long awaitConvergence(long limitMicros) {
        for (long start = nowMicros; nowMicros - start <= limitMicros; advance(CONVERGENCE_STEP_MICROS)) {
            if (hasConverged()) {
                return nowMicros - start;
            }
        }
        return -1;
    }
}
