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
    private static ViewUpdate.Endpoints list(long revision, boolean whole) {
        return new ViewUpdate.Endpoints("postgresql", new EndpointList(revision, whole, List.of()), false);
    }

    /** A loop that is far behind gets one whole list in place of what waits, and then what came after it; nothing grows. */
    @Test
    void whatWaitsGivesWayToOneWholeList() {
        Deque<Runnable> loop = new ArrayDeque<>();
        List<String> taken = new ArrayList<>();
        EndpointUpdateQueue handover = new EndpointUpdateQueue(
                loop::add,
                h -> taken.add((h.list().whole() ? "whole " : "") + h.list().revision()));
        handover.offer(List.of(list(1, false), list(2, false)), List::of);
        handover.offer(List.of(), List::of);
        assertEquals(1, loop.size());
        loop.forEach(Runnable::run);
        assertEquals(List.of("1", "2"), taken);
        taken.clear();
        loop.clear();
        for (int i = 1; i <= EndpointUpdateQueue.MOST + 3; i++) {
            int at = i;
            handover.offer(List.of(list(at, false)), () -> List.of(list(at, true)));
        }
        loop.forEach(Runnable::run);
        assertEquals(
                List.of(
                        "whole " + (EndpointUpdateQueue.MOST + 1),
                        "" + (EndpointUpdateQueue.MOST + 2),
                        "" + (EndpointUpdateQueue.MOST + 3)),
                taken);
        assertEquals(1, handover.conflated());
    }

    /** Guards against a heap full of whole lists: their hosts count, not only they. */
    @Test
    void manyHostsWaitInNoMoreThanOneWholeList() {
        Deque<Runnable> loop = new ArrayDeque<>();
        List<Long> taken = new ArrayList<>();
        EndpointUpdateQueue handover =
                new EndpointUpdateQueue(loop::add, h -> taken.add(h.list().revision()));
        EndpointList.Entry host =
                new EndpointList.Entry("h", "127.0.0.1:1", "z", 1, EndpointList.State.SERVING, false, 1, 0);
        List<EndpointList.Entry> thousand = Collections.nCopies(1_024, host);
        for (long i = 1; i <= 40; i++) {
            ViewUpdate.Endpoints each =
                    new ViewUpdate.Endpoints("postgresql", new EndpointList(i, true, thousand), false);
            handover.offer(List.of(each), () -> List.of(each));
        }
        loop.forEach(Runnable::run);
        assertEquals(LongStream.rangeClosed(33, 40).boxed().toList(), taken);
        assertEquals(1, handover.conflated());
    }
}
