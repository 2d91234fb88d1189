package mintstair.serve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mintstair.registry.view.ViewUpdate;

/**
 * A bounded queue of endpoint lists from the registry's thread to the event loop. Lists are applied in order, and those
 * that were offered together are applied together. If the loop falls too far behind, the queued lists are conflated:
 * they are replaced by one snapshot of the state that they would have led to.
 */
final class EndpointUpdateQueue {
    /** The maximum number of queued batches. */
    static final int MAX_BATCHES = 1_024;
    /** The maximum number of entries of all queued lists; large snapshots would fill the heap with fewer batches. */
    static final int MAX_ENTRIES = 32_768;

    private final Executor loop;
    private final Consumer<ViewUpdate.Endpoints> consumer;

    /** Guarded by this object. */
    private final Deque<List<ViewUpdate.Endpoints>> batches = new ArrayDeque<>();

    /** Guarded by this object. */
    private int queuedEntries;

    /** Guarded by this object. */
    private long conflations;

    /** Creates a queue whose {@code consumer} is called on the loop. */
    EndpointUpdateQueue(Executor loop, Consumer<ViewUpdate.Endpoints> consumer) {
        this.loop = loop;
        this.consumer = consumer;
    }

    /** Enqueues one batch; {@code snapshot} supplies the current state of all lists, including this batch. */
    synchronized void offer(List<ViewUpdate.Endpoints> batch, Supplier<List<ViewUpdate.Endpoints>> snapshot) {
        if (batch.isEmpty()) {
            return;
        }
        if (hasRoomFor(batch)) {
            add(batch);
        } else {
            batches.clear();
            queuedEntries = 0;
            add(snapshot.get());
            conflations++;
        }
        if (batches.size() == 1) {
            loop.execute(this::drain);
        }
    }

    /** Must be called with the lock held. */
    private boolean hasRoomFor(List<ViewUpdate.Endpoints> batch) {
        return batches.size() < MAX_BATCHES && (batches.isEmpty() || queuedEntries + entryCount(batch) <= MAX_ENTRIES);
    }

    /** Must be called with the lock held. */
    private void add(List<ViewUpdate.Endpoints> batch) {
        batches.add(batch);
        queuedEntries += entryCount(batch);
    }

    private static int entryCount(List<ViewUpdate.Endpoints> batch) {
        return batch.stream().mapToInt(update -> update.list().entries().size()).sum();
    }

    /** Runs on the loop. Applies the lists outside the lock, so that the registry's thread never waits for the loop. */
    private void drain() {
        List<List<ViewUpdate.Endpoints>> drained;
        synchronized (this) {
            drained = List.copyOf(batches);
            batches.clear();
            queuedEntries = 0;
        }
        drained.forEach(batch -> batch.forEach(consumer));
    }

    /** Returns how often queued lists were replaced by a snapshot. */
    synchronized long conflations() {
        return conflations;
    }
}
