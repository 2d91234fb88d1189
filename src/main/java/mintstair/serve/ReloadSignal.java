package mintstair.serve;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Receives the reload signal, SIGHUP, from the process's first moment on: without a handler the virtual machine would
 * end. Signals that arrive before a listener is set are kept as one, so that a reload during start-up is not lost.
 * Safe for use by several threads.
 */
public final class ReloadSignal {
    private static final String SIGHUP = "HUP";

    /** Guarded by this object. */
    private Runnable listener;

    /** Guarded by this object. */
    private boolean pending;

    /** Takes over SIGHUP. */
    public ReloadSignal() {
        this(SIGHUP, () -> {});
    }

    /** Takes over this signal; {@code received} runs after each, on the signal's thread. */
    ReloadSignal(String signal, Runnable received) {
        SignalHandler previous = Signal.handle(new Signal(signal), raised -> {
            receive();
            received.run();
        });
        if (previous == SignalHandler.SIG_IGN) {
            System.err.println(
                    "mintstair: SIG" + signal + " is ignored, as by nohup: settings are not read anew while this runs");
        }
    }

    /** Under the lock: a signal that arrives while a reload is at work is handled after it. */
    private synchronized void receive() {
        if (listener == null) {
            pending = true;
        } else {
            listener.run();
        }
    }

    /** Runs {@code reload} at each signal from now on, on the signal's thread, and at once if one is pending. */
    synchronized void onReload(Runnable reload) {
        listener = reload;
        if (pending) {
            pending = false;
            reload.run();
        }
    }
}
