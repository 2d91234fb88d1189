package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.stream.LongStream;
import mintstair.registry.view.ViewUpdate;
import mintstair.request.EndpointList;
import org.junit.jupiter.api.Test;

class EndpointUpdateQueueTest {
    private static final EndpointList.Entry HOST =
            new EndpointList.Entry("h", "127.0.0.1:1", "z", 1, EndpointList.State.SERVING, false, 1, 0);

    private final Deque<Runnable> loop = new ArrayDeque<>();
    private final List<String> applied = new ArrayList<>();
    private final EndpointUpdateQueue queue = new EndpointUpdateQueue(loop::add, this::apply);

    private void apply(ViewUpdate.Endpoints update) {
        applied.add((update.list().isSnapshot() ? "snapshot " : "delta ")
                + update.list().revision());
    }

    private static ViewUpdate.Endpoints update(long revision, boolean isSnapshot, List<EndpointList.Entry> hosts) {
        return new ViewUpdate.Endpoints("postgresql", new EndpointList(revision, isSnapshot, hosts), false);
    }

    private static ViewUpdate.Endpoints delta(long revision) {
        return update(revision, false, List.of());
    }

    private static ViewUpdate.Endpoints snapshot(long revision) {
        return update(revision, true, List.of());
    }

    @Test
    void listsOfferedTogetherAreAppliedInOrderByOneTask() {
        queue.offer(List.of(delta(1), delta(2)), List::of);
        queue.offer(List.of(), List::of);

        assertEquals(1, loop.size());
        loop.forEach(Runnable::run);
        assertEquals(List.of("delta 1", "delta 2"), applied);
    }

    /**
     * Guards against unbounded growth while the loop is blocked: queued lists are replaced by one snapshot, after which
     * later lists are queued again.
     */
    @Test
    void queuedListsAreReplacedByOneSnapshotBeyondTheMaximumNumberOfBatches() {
        int max = EndpointUpdateQueue.MAX_BATCHES;

        for (int i = 1; i <= max + 3; i++) {
            int revision = i;
            queue.offer(List.of(delta(revision)), () -> List.of(snapshot(revision)));
        }
        loop.forEach(Runnable::run);

        assertEquals(List.of("snapshot " + (max + 1), "delta " + (max + 2), "delta " + (max + 3)), applied);
        assertEquals(1, queue.conflations());
    }

    /** Guards against a heap filled by few large snapshots: the number of their entries is bounded as well. */
    @Test
    void queuedListsAreReplacedBeyondTheMaximumNumberOfEntries() {
        List<EndpointList.Entry> entries = Collections.nCopies(1_024, HOST);

        for (long i = 1; i <= 40; i++) {
            ViewUpdate.Endpoints update = update(i, true, entries);
            queue.offer(List.of(update), () -> List.of(update));
        }
        loop.forEach(Runnable::run);

        List<String> expected =
                LongStream.rangeClosed(33, 40).mapToObj(i -> "snapshot " + i).toList();
        assertEquals(expected, applied);
        assertEquals(1, queue.conflations());
    }
}
