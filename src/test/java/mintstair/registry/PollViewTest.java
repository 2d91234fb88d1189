package mintstair.registry;

import static mintstair.registry.RegistryFixtures.host;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryEvent;
import org.junit.jupiter.api.Test;

class PollViewTest {
    private final ViewDriver driver = ViewDriver.polling(ViewDriver.SMALL_LIMITS);

    private void onList(long index, boolean leaderConfirmed, RegistryEntry... entries) {
        driver.on(new RegistryEvent.FullList(driver.lastCallId(), index, List.of(entries), leaderConfirmed));
    }

    @Test
    void decreasedIndexIsConfirmedByALinearizableRead() {
        driver.start(null);
        onList(50, true, host("a", 1, 5, 5));
        assertEquals(50, ((RegistryCall.Poll) driver.lastCall()).index());

        onList(45, false);
        assertEquals(1, driver.count("breaks_lags"), "a response without a confirmed leader must fail the call");

        driver.awaitCall();
        onList(40, true, host("b", 1, 5, 5));
        RegistryCall.Poll confirmation = (RegistryCall.Poll) driver.lastCall();
        assertTrue(confirmation.consistent() && confirmation.index() == 0);

        driver.updates.clear();
        onList(40, true, host("b", 1, 5, 5));
        assertEquals("a- b=1", driver.changes());
    }

    /** A query for such an index is not held, so the view would poll in a busy loop. */
    @Test
    void indexBelowOneIsMalformed() {
        driver.start(null);
        onList(50, true, host("a", 1, 5, 5));

        onList(0, true);

        assertEquals(1, driver.count("breaks_malformed"));
    }
}
