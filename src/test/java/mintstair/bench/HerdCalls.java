package mintstair.bench;

import java.util.List;
import java.util.TreeMap;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryKeys;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewLimits;
import mintstair.registry.view.ViewStep;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.WatchView;

/**
 * 48 views of one registry that loses its majority at one moment, in virtual time, so that nothing but their own
 * waits spreads their calls: the most calls in any 20 ms after the first, as a rate by the second.
 */
final class HerdCalls {
    private static final int CLIENTS = 48;
    private static final long LOST = 20_000_000;
    private static final long WINDOW = 20_000;

    private HerdCalls() {}

    /** Without jitter all throw the same dice, so that their waits are alike. */
    static int peak(boolean jitter) {
        TreeMap<Long, Integer> windows = new TreeMap<>();
        for (int c = 0; c < CLIENTS; c++) {
            RegistryView view = new WatchView(
                    new RegistryKeys("reg/", List.of("postgresql")),
                    ViewLimits.DEFAULT,
                    ViewTimeouts.DEFAULT,
                    3,
                    jitter ? c : 1);
            ViewStep step = view.start(0, null);
            for (long now = 0; now < LOST; now = Math.max(now + 1, view.wakeAt()), step = view.tick(now)) {
                for (RegistryCall call : step.calls()) {
                    if (call instanceof RegistryCall.Read read) {
                        if (now > 0) {
                            windows.merge(now / WINDOW, 1, Integer::sum);
                        }
                        view.on(
                                now,
                                new RegistryEvent.CallFailed(
                                        read.callId(), RegistryEvent.Reason.NO_LEADER, "no leader"));
                    }
                }
            }
        }
        return windows.values().stream().max(Integer::compare).orElse(0) * (int) (1_000_000 / WINDOW);
    }
}
