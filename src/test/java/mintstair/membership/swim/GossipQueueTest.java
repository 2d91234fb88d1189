package mintstair.membership.swim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class GossipQueueTest {
    private static final int AMPLE_BYTES = 1_000;

    private final GossipQueue queue = new GossipQueue();

    private static GossipUpdate update(String name, MemberState state) {
        return new GossipUpdate(name, "h:1", 1, state, name);
    }

    private static GossipUpdate alive(String name) {
        return update(name, MemberState.ALIVE);
    }

    private List<String> pollNames(int maxBytes, int maxTransmissions) {
        return queue.poll(maxBytes, maxTransmissions).stream()
                .map(GossipUpdate::name)
                .toList();
    }

    @Test
    void newestUpdateIsFirstAmongEquallyOftenTransmittedOnes() {
        queue.add(alive("a"));
        queue.add(alive("b"));

        assertEquals(List.of("b", "a"), pollNames(AMPLE_BYTES, 5));
    }

    @Test
    void updateWithFewerTransmissionsIsFirst() {
        queue.add(alive("a"));
        queue.add(alive("b"));
        int bytesOfOne = GossipQueue.encodedBytes(alive("a"));

        assertEquals(List.of("b"), pollNames(bytesOfOne, 5));
        assertEquals(List.of("a"), pollNames(bytesOfOne, 5));
        assertEquals(List.of("b"), pollNames(bytesOfOne, 5));
    }

    @Test
    void updateIsRemovedAfterItsLastTransmission() {
        queue.add(alive("a"));

        assertEquals(List.of("a"), pollNames(AMPLE_BYTES, 2));
        assertEquals(List.of("a"), pollNames(AMPLE_BYTES, 2));
        assertEquals(List.of(), pollNames(AMPLE_BYTES, 2));
    }

    @Test
    void newUpdateReplacesOlderOneForTheSameMember() {
        GossipUpdate suspect = update("a", MemberState.SUSPECT);
        queue.add(alive("a"));
        queue.add(suspect);

        assertEquals(List.of(suspect), queue.poll(AMPLE_BYTES, 5));
    }
}
