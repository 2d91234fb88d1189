package mintstair.serve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mintstair.registry.view.ViewUpdate;

/**
 * Hands lists of hosts from the registry's thread to the loop: what was told together is taken together, in order. Bounded: where
 * the loop is that far behind, the lists that wait give way to one whole list, which holds all that they would have led to.
 */
final class EndpointUpdateQueue {
    static final int MOST = 1_024;
    /** And with no more hosts in all: from a registry that tells whole lists, fewer would fill the heap. */
    static final int MOST_HOSTS = 32_768;

    private final Executor loop;
    private final Consumer<ViewUpdate.Endpoints> taker;
    private final Deque<List<ViewUpdate.Endpoints>> waiting = new ArrayDeque<>();
    private int hosts;
    private long conflated;

    /** {@code taker} runs on the loop. */
    EndpointUpdateQueue(Executor loop, Consumer<ViewUpdate.Endpoints> taker) {
        this.loop = loop;
        this.taker = taker;
    }

    /** Hands these over; {@code whole} gives everything as it is now, these included. */
    synchronized void offer(List<ViewUpdate.Endpoints> together, Supplier<List<ViewUpdate.Endpoints>> whole) {
        if (together.isEmpty()) {
            return;
        }
        if (waiting.size() < MOST && (waiting.isEmpty() || hosts + hostsOf(together) <= MOST_HOSTS)) {
            add(together);
        } else {
            waiting.clear();
            hosts = 0;
            add(whole.get());
            conflated++;
        }
        if (waiting.size() == 1) {
            loop.execute(this::take);
        }
    }

    private void add(List<ViewUpdate.Endpoints> together) {
        waiting.add(together);
        hosts += hostsOf(together);
    }

    private static int hostsOf(List<ViewUpdate.Endpoints> together) {
        return together.stream().mapToInt(told -> told.list().entries().size()).sum();
    }

    private void take() {
        List<List<ViewUpdate.Endpoints>> all;
        synchronized (this) {
            all = List.copyOf(waiting);
            waiting.clear();
            hosts = 0;
        }
        all.forEach(together -> together.forEach(taker));
    }

    /** How often waiting lists gave way to a whole one. */
    synchronized long conflated() {
        return conflated;
    }
}
