package mintstair.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mintstair.request.EndpointList;
import mintstair.request.EndpointList.State;
import org.junit.jupiter.api.Test;

class KnownEndpointsTest {
    private final KnownEndpoints endpoints = new KnownEndpoints();

    private static EndpointList.Entry entry(String host, int cluster, State state) {
        return new EndpointList.Entry(host, "127.0.0.1:9", "z", cluster, state, false, 1, 0);
    }

    private void snapshot(EndpointList.Entry... entries) {
        endpoints.update(new EndpointList(1, true, List.of(entries)));
    }

    private void delta(EndpointList.Entry... entries) {
        endpoints.update(new EndpointList(2, false, List.of(entries)));
    }

    @Test
    void drainingHostIsListedButNotServing() {
        snapshot(entry("a", 1, State.SERVING), entry("b", 1, State.DRAINING), entry("c", 1, State.REMOVED));

        assertEquals(2, endpoints.countListed());
        assertTrue(endpoints.isServing("a"));
        assertFalse(endpoints.isServing("b"));
        assertFalse(endpoints.isServing("c"));
    }

    @Test
    void deltaChangesOnlyTheHostsThatItContains() {
        snapshot(entry("a", 1, State.SERVING), entry("b", 1, State.SERVING));

        delta(entry("b", 1, State.REMOVED));

        assertEquals(1, endpoints.countListed());
        assertTrue(endpoints.isServing("a"));
        assertFalse(endpoints.isServing("b"));
    }

    @Test
    void snapshotReplacesAllHostsButRetainsKnownClusters() {
        snapshot(entry("a", 1, State.SERVING));

        snapshot(entry("b", 2, State.SERVING));

        assertEquals(1, endpoints.countListed());
        assertFalse(endpoints.isServing("a"));
        assertTrue(endpoints.isClusterKnown(1));
        assertTrue(endpoints.isClusterKnown(2));
        assertFalse(endpoints.isClusterKnown(3));
    }
}
