package mintstair.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.Message;
import mintstair.membership.swim.Swim;
import mintstair.membership.swim.SwimSettings;
import mintstair.membership.swim.View;

/** A fleet of members in virtual time on a network that loses, delays and cuts as it is told; the same for the same seed. */
public final class FleetPlay {
    /** What the network does with a datagram or a connection from one member to another. */
    public interface Network {
        /** The delay in microseconds; negative where it is lost. */
        long delay(int from, int to, Random chance);

        /** Whether connections come up, if the other end runs. */
        default boolean connects(int from, int to) {
            return true;
        }
    }

    /** One of the fleet; what it is told while it stands still waits for it, up to a bound. */
    public final class Node implements Swim.Actions {
        public final int number;
        public final String name;
        public Swim swim;
        /** Its process runs; a machine that is lost does not even turn connections away. */
        public boolean runs;

        public boolean machine = true;
        private long stillUntil;
        private long wakes = Long.MAX_VALUE;
        private final List<Message> waiting = new ArrayList<>();
        public long messages;

        Node(int number) {
            this.number = number;
            name = "p" + number;
        }

        @Override
        public void send(String address, Message message) {
            messages++;
            int to = Integer.parseInt(address);
            long delay = network.delay(number, to, chance);
            if (delay >= 0) {
                at(now + delay, () -> nodes.get(to).hear(message));
            }
        }

        private void hear(Message message) {
            if (!runs) {
                return;
            }
            if (now < stillUntil) {
                if (waiting.size() < 200) {
                    waiting.add(message);
                }
                return;
            }
            swim.received(now, message);
            plan();
        }

        @Override
        public void check(long seq, String target, String address) {
            Node to = nodes.get(Integer.parseInt(address));
            Swim asker = swim;
            boolean up = connections && network.connects(number, to.number) && to.machine;
            long took = 3 * Math.max(1_000, network.delay(number, to.number, chance));
            at(now + (up ? Math.min(took, 250_000) : 250_000), () -> {
                if (runs && swim == asker && now >= stillUntil) {
                    boolean closed = up && !to.runs;
                    boolean answered = up && to.runs && now >= to.stillUntil && network.connects(to.number, number);
                    swim.checked(
                            now,
                            seq,
                            took > 250_000
                                    ? Swim.Check.SILENT
                                    : closed ? Swim.Check.CLOSED : answered ? Swim.Check.ANSWERED : Swim.Check.SILENT);
                }
            });
        }

        @Override
        public void changed(GossipUpdate known, MemberState before) {
            int of = Integer.parseInt(known.address());
            if (known.state() == MemberState.DEAD) {
                Node dead = nodes.get(of);
                if (dead.runs && known.by().equals(name)) {
                    falseDeaths++;
                }
                deaths.computeIfAbsent(of, n -> new HashMap<>()).put(number, now);
            } else if (known.state() == MemberState.SUSPECT) {
                suspicions.computeIfAbsent(of, n -> new HashMap<>()).putIfAbsent(number, now);
                if (known.by().equals(name) && nodes.get(of).runs) {
                    falseSuspicions++;
                }
            } else if (known.state() == MemberState.ALIVE) {
                deaths.computeIfAbsent(of, n -> new HashMap<>()).remove(number);
            }
        }

        private void plan() {
            long next = Math.max(now, swim.nextTick());
            if (next < wakes) {
                wakes = next;
                at(next, () -> wake(next));
            }
        }

        private void wake(long due) {
            if (!runs || wakes != due) {
                return;
            }
            wakes = Long.MAX_VALUE;
            if (now < stillUntil) {
                wakes = stillUntil;
                at(stillUntil, () -> wake(stillUntil));
                return;
            }
            swim.tick(now);
            waiting.forEach(m -> swim.received(now, m));
            waiting.clear();
            plan();
        }

        /** It stands still now, and takes nothing. */
        public boolean isStill() {
            return now < stillUntil;
        }

        public View view() {
            return swim.view();
        }
    }

    private record Event(long at, long order, Runnable what) {}

    public final List<Node> nodes = new ArrayList<>();
    /** Of each member declared dead: when each other member took it for that. */
    public final Map<Integer, Map<Integer, Long>> deaths = new HashMap<>();

    public final Map<Integer, Map<Integer, Long>> suspicions = new HashMap<>();
    /** Running members declared dead, counted where it is declared and not where it is heard; and those suspected. */
    public long falseDeaths;

    public long falseSuspicions;
    public long now = 1_000_000_000L;
    public Network network;
    /** Whether connections can be tried at all; without, a crash is as silent as a cut. */
    public boolean connections = true;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Random chance;
    private final SwimSettings settings;
    private long orders;

    public FleetPlay(int size, int told, double loss, long seed) {
        this(size, SwimSettings.usual(told), loss, seed);
    }

    public FleetPlay(int size, SwimSettings settings, double loss, long seed) {
        chance = new Random(seed);
        this.settings = settings;
        network = losing(loss);
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
        }
    }

    /** Half a millisecond there, and some are lost. */
    public static Network losing(double loss) {
        return (from, to, chance) -> chance.nextDouble() < loss ? -1 : 300 + chance.nextInt(400);
    }

    /** The same, and nothing passes between members of different sides. */
    public static Network cut(double loss, int firstOfOther) {
        Network losing = losing(loss);
        return new Network() {
            @Override
            public long delay(int from, int to, Random chance) {
                return connects(from, to) ? losing.delay(from, to, chance) : -1;
            }

            @Override
            public boolean connects(int from, int to) {
                return from < firstOfOther == to < firstOfOther;
            }
        };
    }

    public void at(long when, Runnable what) {
        events.add(new Event(when, orders++, what));
    }

    public FleetPlay startAll() {
        nodes.forEach(this::start);
        return this;
    }

    /** A new process, which knows the first three addresses. */
    public void start(Node node) {
        start(node, node.name);
    }

    public void start(Node node, String name) {
        node.runs = true;
        node.machine = true;
        node.stillUntil = 0;
        node.waiting.clear();
        node.wakes = Long.MAX_VALUE;
        node.swim = new Swim(now, chance.nextLong(), name, "" + node.number, List.of("0", "1", "2"), settings, node);
        node.plan();
    }

    public void kill(Node node) {
        node.runs = false;
    }

    public void lose(Node node) {
        node.runs = false;
        node.machine = false;
    }

    public void stall(Node node, long until) {
        node.stillUntil = until;
    }

    public void pass(long time) {
        for (long end = now + time; ; ) {
            Event next = events.peek();
            if (next == null || next.at > end) {
                now = end;
                return;
            }
            events.poll();
            now = next.at;
            next.what.run();
        }
    }

    public SwimSettings settings() {
        return settings;
    }

    public List<Node> running() {
        return nodes.stream().filter(n -> n.runs).toList();
    }

    /** Whether all that run take exactly each other for alive. */
    public boolean agrees() {
        long alive = running().size();
        return running().stream()
                .allMatch(n -> n.view().members().stream()
                                        .filter(m -> m.known().state() == MemberState.ALIVE)
                                        .count()
                                == alive - 1
                        && n.view().members().stream().noneMatch(m -> m.known().state() == MemberState.SUSPECT));
    }

    /** Lets time pass until all agree; how long that took, or -1 where it takes longer than {@code most}. */
    public long untilAgreed(long most) {
        for (long begun = now; now - begun <= most; pass(100_000)) {
            if (agrees()) {
                return now - begun;
            }
        }
        return -1;
    }
}
