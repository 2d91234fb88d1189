package mintstair.serve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mintstair.registry.view.ViewUpdate;

/**
 * Hands endpoint lists from the registry's thread to the event loop, in order; lists that were offered together are
 * applied together. Bounded by conflation: where the loop is too far behind, the waiting lists are replaced by one
 * snapshot, which holds all that they would have led to.
 */
final class EndpointUpdateQueue {
    /** Batches that may wait. */
    static final int MAX_BATCHES = 1_024;
    /** Entries of all waiting lists: a registry that sends snapshots would fill the heap with fewer batches. */
    static final int MAX_ENTRIES = 32_768;

    private final Executor loop;
    private final Consumer<ViewUpdate.Endpoints> consumer;

    /** Guarded by this object. */
    private final Deque<List<ViewUpdate.Endpoints>> batches = new ArrayDeque<>();

    /** Guarded by this object. */
    private int entries;

    /** Guarded by this object. */
    private long conflations;

    /** {@code consumer} runs on the loop. */
    EndpointUpdateQueue(Executor loop, Consumer<ViewUpdate.Endpoints> consumer) {
        this.loop = loop;
        this.consumer = consumer;
    }

    /** Enqueues one batch; {@code snapshot} gives the present state of all lists, this batch included. */
    synchronized void offer(List<ViewUpdate.Endpoints> batch, Supplier<List<ViewUpdate.Endpoints>> snapshot) {
        if (batch.isEmpty()) {
            return;
        }
        if (hasRoomFor(batch)) {
            add(batch);
        } else {
            batches.clear();
            entries = 0;
            add(snapshot.get());
            conflations++;
        }
        if (batches.size() == 1) {
            loop.execute(this::drain);
        }
    }

    /** Called under the lock. */
    private boolean hasRoomFor(List<ViewUpdate.Endpoints> batch) {
        return batches.size() < MAX_BATCHES && (batches.isEmpty() || entries + entriesOf(batch) <= MAX_ENTRIES);
    }

    /** Called under the lock. */
    private void add(List<ViewUpdate.Endpoints> batch) {
        batches.add(batch);
        entries += entriesOf(batch);
    }

    private static int entriesOf(List<ViewUpdate.Endpoints> batch) {
        return batch.stream().mapToInt(update -> update.list().entries().size()).sum();
    }

    /** On the loop; the lists are applied outside the lock, so that the registry's thread never waits for the loop. */
    private void drain() {
        List<List<ViewUpdate.Endpoints>> drained;
        synchronized (this) {
            drained = List.copyOf(batches);
            batches.clear();
            entries = 0;
        }
        drained.forEach(batch -> batch.forEach(consumer));
    }

    /** How often waiting lists were replaced by a snapshot. */
    synchronized long conflations() {
        return conflations;
    }
}
