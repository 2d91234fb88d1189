package mintstair.registry;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeMap;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewStep;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.WatchView;
import org.junit.jupiter.api.Test;

class ReconnectTest {
    private static final int PROXIES = 48;
    private static final long END_MICROS = 20_000_000;
    private static final long WINDOW_MICROS = 20_000;

    /**
     * All proxies lose the registry's quorum at the same time. Their calls must back off up to a maximum delay, and
     * must not be synchronized.
     */
    @Test
    void proxiesThatLoseTheQuorumTogetherDoNotRetryInSync() {
        TreeMap<Long, Integer> callsByWindow = new TreeMap<>();
        for (int seed = 0; seed < PROXIES; seed++) {
            int calls = retryWithoutQuorum(seed, callsByWindow);
            assertTrue(calls > 40 && calls < 90, calls + " calls in 20 s");
        }
        int peak = callsByWindow.values().stream().max(Integer::compare).orElse(0);
        assertTrue(peak <= 15, peak + " of 48 within 20 ms");
    }

    /** Counts all calls but the first by time window; returns the number of all calls. */
    private static int retryWithoutQuorum(int seed, TreeMap<Long, Integer> callsByWindow) {
        RegistryView view = new WatchView(
                RegistryFixtures.KEYS, ViewDriver.SMALL_LIMITS, ViewTimeouts.DEFAULT, ViewDriver.SERVERS, seed);
        int calls = 0;
        ViewStep step = view.start(0, null);
        for (long now = 0; now < END_MICROS; now = Math.max(now + 1, view.wakeAt())) {
            if (step.calls().isEmpty()) {
                step = view.tick(now);
            }
            for (RegistryCall call : step.calls()) {
                if (call instanceof RegistryCall.Read) {
                    calls++;
                    if (now > 0) {
                        callsByWindow.merge(now / WINDOW_MICROS, 1, Integer::sum);
                    }
                    view.on(now, new RegistryEvent.CallFailed(call.callId(), Reason.NO_LEADER, "no leader"));
                }
            }
            step = new ViewStep(List.of(), List.of());
        }
        assertNull(view.snapshot());
        return calls;
    }
}
