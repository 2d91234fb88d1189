package mintstair.serve;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The SIGHUPs of this process from its first moment on, as the virtual machine would end at one otherwise. Those that come before
 * anybody takes them are kept as one: the settings that they tell of must not be lost because the program is still starting.
 */
public final class ReloadSignal {
    private Runnable taker;
    private boolean waits;

    /** Takes over the signal. */
    public ReloadSignal() {
        this("HUP", () -> {});
    }

    /** {@code seen} is run for each, on the signal's thread. */
    ReloadSignal(String signal, Runnable seen) {
        SignalHandler before = Signal.handle(new Signal(signal), came -> {
            came();
            seen.run();
        });
        if (before == SignalHandler.SIG_IGN) {
            System.err.println(
                    "mintstair: SIG" + signal + " is ignored, as by nohup: settings are not read anew while this runs");
        }
    }

    /** Ones that come while one is at work are handled after it, in turn. */
    private synchronized void came() {
        if (taker == null) {
            waits = true;
        } else {
            taker.run();
        }
    }

    /** Runs this at each signal from now on, on the signal's thread, and right now if one waits. */
    synchronized void take(Runnable reload) {
        taker = reload;
        if (waits) {
            waits = false;
            reload.run();
        }
    }
}
