package mintstair.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import mintstair.routing.RouterAction;
import mintstair.routing.RouterFixtures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RouterDriverTest {
    private static final RouterAction FIRST = new RouterAction.Log("first");
    private static final RouterAction SECOND = new RouterAction.Log("second");
    private static final RouterAction RESULTING = new RouterAction.Log("resulting");

    private final EventLoop loop = new EventLoop();
    private final List<RouterAction> executed = new ArrayList<>();
    private RouterDriver driver;

    @AfterEach
    void closeLoop() {
        loop.close();
    }

    @Test
    void actionsThatResultFromAnActionAreExecutedAfterPendingActions() {
        driver = new RouterDriver(loop, RouterFixtures.router(loop.now()), action -> {
            if (action == FIRST) {
                driver.execute(List.of(RESULTING));
                assertEquals(List.of(), executed, "executed within the first action");
            }
            executed.add(action);
        });

        driver.execute(List.of(FIRST, SECOND));

        assertEquals(List.of(FIRST, SECOND, RESULTING), executed);
    }

    @Test
    void actionsQueuedBehindAFailedActionAreExecutedByTheNextCall() {
        driver = new RouterDriver(loop, RouterFixtures.router(loop.now()), action -> {
            if (action == FIRST) {
                throw new IllegalStateException("thrown by the test");
            }
            executed.add(action);
        });
        assertThrows(IllegalStateException.class, () -> driver.execute(List.of(FIRST, SECOND)));

        driver.execute(List.of(RESULTING));

        assertEquals(List.of(SECOND, RESULTING), executed);
    }
}
