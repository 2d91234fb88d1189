package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mintstair.front.Front;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DescriptorBudgetTest {
    /** Returns the descriptors that a process uses when all of its budget is used. */
    private static int used(DescriptorBudget budget) {
        int clientConnections = budget.clients() + Front.slack(budget.clients());
        return clientConnections + budget.hosts() + DescriptorBudget.RESERVED;
    }

    /**
     * Returns the descriptors that a successor adds: its own and its connections to hosts. Its clients replace idle
     * clients of the predecessor.
     */
    private static int usedBySuccessor(DescriptorBudget budget) {
        return budget.hosts() + DescriptorBudget.RESERVED;
    }

    /** Guards against clients rejected although descriptors are free, and against use beyond the limit. */
    @ParameterizedTest
    @ValueSource(ints = {256, 384, 1024})
    void nearlyAllDescriptorsAreUsedAndNoMore(int descriptors) {
        DescriptorBudget budget = DescriptorBudget.of(descriptors, 1, false, 3);

        int used = used(budget);
        assertTrue(
                used <= descriptors && used > descriptors * 9 / 10 && budget.clients() > descriptors / 2,
                budget.toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {256, 384, 1024})
    void successorFitsIntoTheLimitBesideAFullyUsedProcess(int descriptors) {
        DescriptorBudget budget = DescriptorBudget.of(descriptors, 1, true, 3);

        assertTrue(used(budget) + usedBySuccessor(budget) <= descriptors, budget.toString());
        assertTrue(budget.clients() >= descriptors / 4, budget.toString());
    }

    /** Guards against connections to hosts that use the descriptors needed by clients if many hosts are known. */
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
    void processStartedBesideItsPredecessorAcceptsHalfOfTheClients() {
        DescriptorBudget budget = new DescriptorBudget(101, 16);

        assertEquals(new DescriptorBudget(50, 16), budget.besidePredecessor());
    }
}
