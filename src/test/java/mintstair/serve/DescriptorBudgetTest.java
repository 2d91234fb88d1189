package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mintstair.front.Front;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DescriptorBudgetTest {
    /** The descriptors of a process that is full. */
    private static int used(DescriptorBudget budget) {
        int clients = budget.clients() + Front.slack(budget.clients());
        return clients + budget.hosts() + DescriptorBudget.RESERVED;
    }

    /** Those of a successor beside it, with its hosts and half of the clients less the idle ones of the first. */
    private static int usedBySuccessor(DescriptorBudget budget) {
        return budget.hosts() + DescriptorBudget.RESERVED;
    }

    /** Guards against clients that are rejected though descriptors are free, and against more than there are. */
    @ParameterizedTest
    @ValueSource(ints = {256, 384, 1024})
    void descriptorsAreDividedInFull(int descriptors) {
        DescriptorBudget budget = DescriptorBudget.of(descriptors, 1, false, 3);

        int used = used(budget);
        assertTrue(
                used <= descriptors && used > descriptors * 9 / 10 && budget.clients() > descriptors / 2,
                budget.toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {256, 384, 1024})
    void successorFitsBesideAFullProcess(int descriptors) {
        DescriptorBudget budget = DescriptorBudget.of(descriptors, 1, true, 3);

        assertTrue(used(budget) + usedBySuccessor(budget) <= descriptors, budget.toString());
        assertTrue(budget.clients() >= descriptors / 4, budget.toString());
    }

    /** However many hosts are known, they do not take what clients need. */
    @ParameterizedTest
    @ValueSource(ints = {128, 256, 384, 1024})
    void manyKnownHostsLeaveDescriptorsForClientsAndASuccessor(int descriptors) {
        for (int known : new int[] {0, 12, 60, 500}) {
            DescriptorBudget budget = DescriptorBudget.of(descriptors, 1, true, known);

            String message = budget + " of " + descriptors;
            assertTrue(descriptors < 256 || used(budget) + usedBySuccessor(budget) <= descriptors, message);
            assertTrue(budget.hosts() <= Math.max(16, descriptors / 3), message);
            assertTrue(descriptors < 256 || budget.clients() >= descriptors / 8, message);
        }
    }

    @Test
    void processBesideItsPredecessorStartsWithHalfOfTheClients() {
        DescriptorBudget budget = new DescriptorBudget(101, 16);

        assertEquals(new DescriptorBudget(50, 16), budget.besidePredecessor());
    }
}
