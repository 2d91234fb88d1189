package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What the endpoint list says of an endpoint, its outlier statistics, and the endpoints of a replica set together. */
class EndpointTest {
    private static final long SECOND = 1_000 * RouterFixture.MS;

    private final PooledLimits pooled = PooledLimits.create(1);
    private final ReplicaSet replicaSet = new ReplicaSet(0, pooled.newReplicaLimit(1));

    private Endpoint member(String name) {
        Endpoint endpoint = new Endpoint(name, replicaSet, pooled.newPrimaryLimit(1), 0);
        replicaSet.members.add(endpoint);
        return endpoint;
    }

    @Test
    void drainingEndpointStaysDrainingWhenItIsRemoved() {
        Endpoint endpoint = member("a");
        endpoint.listed(0, EndpointState.SERVING, true);
        assertTrue(endpoint.isServing());
        endpoint.listed(SECOND, EndpointState.DRAINING, true);
        endpoint.listed(2 * SECOND, EndpointState.REMOVED, true);
        assertFalse(endpoint.isServing());
        assertTrue(endpoint.isRemoved());
    }

    @Test
    void advisoryRemovalLeavesTheEndpointInUse() {
        Endpoint endpoint = member("a");
        endpoint.listed(0, EndpointState.SERVING, true);
        endpoint.removed(SECOND, true);
        assertTrue(endpoint.isServing());
        assertTrue(endpoint.isRemovalIgnored());
        endpoint.listed(2 * SECOND, EndpointState.SERVING, true);
        assertFalse(endpoint.isRemovalIgnored());
    }

    @Test
    void removedEndpointIsForgettableOnceItIsIdleAndLongGone() {
        Endpoint endpoint = member("a");
        endpoint.listed(0, EndpointState.REMOVED, false);
        endpoint.removed(SECOND, false);
        assertFalse(endpoint.isExpired(5 * SECOND));
        endpoint.inFlight = 1;
        assertFalse(endpoint.isExpired(12 * SECOND));
        endpoint.inFlight = 0;
        assertTrue(endpoint.isExpired(12 * SECOND));
    }

    @Test
    void endpointIsEjectedWhileMostOfItsAttemptsFail() {
        Endpoint endpoint = member("a");
        for (int i = 0; i < 10; i++) {
            endpoint.outliers.decay(SECOND);
            endpoint.outliers.recordOutcome(true);
        }
        assertTrue(endpoint.isEjected());
        endpoint.outliers.decay(20 * SECOND);
        assertFalse(endpoint.isEjected());
    }

    @Test
    void slowdownIsBoundedAndDecays() {
        OutlierStatistics outliers = new OutlierStatistics();
        for (int i = 0; i < 200; i++) {
            outliers.recordLatency(1_000);
        }
        assertEquals(10, outliers.slowdown(), 0.1);
        outliers.decay(4 * SECOND);
        assertEquals(5.5, outliers.slowdown(), 0.1);
    }

    @Test
    void replicaSetForgetsItsPrimaryWithTheEndpoint() {
        Endpoint endpoint = member("a");
        endpoint.listed(0, EndpointState.SERVING, false);
        replicaSet.primary = endpoint;
        assertTrue(replicaSet.hasUsablePrimary());
        replicaSet.remove(endpoint);
        assertFalse(replicaSet.hasUsablePrimary());
        assertTrue(replicaSet.members.isEmpty());
    }

    @Test
    void primaryThatDrainsIsNotUsable() {
        Endpoint endpoint = member("a");
        replicaSet.primary = endpoint;
        endpoint.listed(0, EndpointState.DRAINING, false);
        assertFalse(replicaSet.hasUsablePrimary());
    }
}
