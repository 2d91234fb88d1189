package mintstair.membership.swim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClusterSizeEstimatorTest {
    private static final long DISSEMINATION_MICROS = 100;

    private final ClusterSizeEstimator estimator = new ClusterSizeEstimator(5, 0);

    @Test
    void isInitiallyUnsettledWithoutQuorum() {
        assertEquals(new ClusterSizeEstimate(5, 5, false, false), estimator.current());
    }

    @Test
    void quorumIsMoreThanHalfOfTheConfiguredSize() {
        estimator.update(0, 2, 2, DISSEMINATION_MICROS);
        assertFalse(estimator.current().hasQuorum());

        estimator.update(0, 3, 3, DISSEMINATION_MICROS);
        assertTrue(estimator.current().hasQuorum());
    }

    @Test
    void settlesOneDisseminationTimeAfterReachingTheQuorum() {
        estimator.update(10, 5, 5, DISSEMINATION_MICROS);
        estimator.update(109, 5, 5, DISSEMINATION_MICROS);
        assertFalse(estimator.current().settled());

        estimator.update(110, 5, 5, DISSEMINATION_MICROS);
        assertEquals(new ClusterSizeEstimate(5, 5, true, true), estimator.current());
    }

    @Test
    void becomesUnsettledWhenTheQuorumIsLost() {
        estimator.update(0, 5, 5, DISSEMINATION_MICROS);
        estimator.update(100, 5, 5, DISSEMINATION_MICROS);
        estimator.update(101, 2, 5, DISSEMINATION_MICROS);

        assertEquals(new ClusterSizeEstimate(5, 5, false, false), estimator.current());
    }

    @Test
    void quorumRefersToASmallerSizeAfterMembersHaveLeft() {
        estimator.update(0, 5, 5, DISSEMINATION_MICROS);
        estimator.update(1, 2, 2, DISSEMINATION_MICROS);

        assertEquals(new ClusterSizeEstimate(5, 2, false, true), estimator.current());
    }

    @Test
    void dropsDeadMembersThreeDisseminationTimesAfterReachingTheQuorum() {
        estimator.update(50, 3, 5, DISSEMINATION_MICROS);

        assertFalse(estimator.canDrop(350, 40, DISSEMINATION_MICROS));
        assertTrue(estimator.canDrop(351, 40, DISSEMINATION_MICROS));
    }

    @Test
    void dropsNoMembersWithoutQuorumOrAfterAStall() {
        estimator.update(0, 2, 5, DISSEMINATION_MICROS);
        assertFalse(estimator.canDrop(1_000, 0, DISSEMINATION_MICROS));

        estimator.update(0, 3, 5, DISSEMINATION_MICROS);
        estimator.markUnsettled(500, DISSEMINATION_MICROS);
        assertFalse(estimator.canDrop(1_000, 0, DISSEMINATION_MICROS));
    }
}
