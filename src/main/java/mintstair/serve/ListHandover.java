package mintstair.serve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mintstair.registry.view.Told;

/**
 * Hands lists of hosts from the registry's thread to the loop: what was told together is taken together, in order. Bounded: where
 * the loop is that far behind, the lists that wait give way to one whole list, which holds all that they would have led to.
 */
final class ListHandover {
    static final int MOST = 1_024;
    private final Executor loop;
    private final Consumer<Told.Hosts> taker;
    private final Deque<List<Told.Hosts>> waiting = new ArrayDeque<>();
    private long conflated;

    /** {@code taker} runs on the loop. */
    ListHandover(Executor loop, Consumer<Told.Hosts> taker) {
        this.loop = loop;
        this.taker = taker;
    }

    /** Hands these over; {@code whole} gives everything as it is now, these included. */
    synchronized void offer(List<Told.Hosts> together, Supplier<List<Told.Hosts>> whole) {
        if (together.isEmpty()) {
            return;
        }
        if (waiting.size() < MOST) {
            waiting.add(together);
        } else {
            waiting.clear();
            waiting.add(whole.get());
            conflated++;
        }
        if (waiting.size() == 1) {
            loop.execute(this::take);
        }
    }

    private void take() {
        List<List<Told.Hosts>> all;
        synchronized (this) {
            all = List.copyOf(waiting);
            waiting.clear();
        }
        all.forEach(together -> together.forEach(taker));
    }

    /** How often waiting lists gave way to a whole one. */
    synchronized long conflated() {
        return conflated;
    }
}
