package mintstair.membership.swim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClusterSizeEstimatorTest {
    private static final long SPREAD = 100;

    private final ClusterSizeEstimator estimator = new ClusterSizeEstimator(5, 0);

    @Test
    void isNeitherSettledNorHasAQuorumAtFirst() {
        assertEquals(new ClusterSizeEstimate(5, 5, false, false), estimator.current());
    }

    @Test
    void quorumIsMoreThanHalfOfTheConfiguredSize() {
        estimator.update(0, 2, 2, SPREAD);
        assertFalse(estimator.current().hasQuorum());

        estimator.update(0, 3, 3, SPREAD);
        assertTrue(estimator.current().hasQuorum());
    }

    @Test
    void settlesWhenUpdatesHaveSpreadSinceTheQuorum() {
        estimator.update(10, 5, 5, SPREAD);
        estimator.update(109, 5, 5, SPREAD);
        assertFalse(estimator.current().settled());

        estimator.update(110, 5, 5, SPREAD);
        assertEquals(new ClusterSizeEstimate(5, 5, true, true), estimator.current());
    }

    @Test
    void losesItsSettlementWithTheQuorum() {
        estimator.update(0, 5, 5, SPREAD);
        estimator.update(100, 5, 5, SPREAD);
        estimator.update(101, 2, 5, SPREAD);

        assertEquals(new ClusterSizeEstimate(5, 5, false, false), estimator.current());
    }

    @Test
    void expectsFewerMembersOnceSomeHaveLeft() {
        estimator.update(0, 5, 5, SPREAD);
        estimator.update(1, 2, 2, SPREAD);

        assertEquals(new ClusterSizeEstimate(5, 2, false, true), estimator.current());
    }

    @Test
    void dropsTheDeadAfterThreeSpreadTimesWithQuorum() {
        estimator.update(50, 3, 5, SPREAD);

        assertFalse(estimator.mayDrop(350, 40, SPREAD));
        assertTrue(estimator.mayDrop(351, 40, SPREAD));
    }

    @Test
    void dropsNobodyWithoutQuorumOrAfterAStall() {
        estimator.update(0, 2, 5, SPREAD);
        assertFalse(estimator.mayDrop(1_000, 0, SPREAD));

        estimator.update(0, 3, 5, SPREAD);
        estimator.unsettle(500, SPREAD);
        assertFalse(estimator.mayDrop(1_000, 0, SPREAD));
    }
}
