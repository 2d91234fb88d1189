package mintstair.serve;

import mintstair.config.FirstLine;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Receives the reload signal, SIGHUP. The virtual machine's own handler, which stands before the program's first line,
 * would end the process; a starter that ignores the signal keeps it away until this takes over. What arrives before is
 * lost, so that the configuration has to be read after it. Signals between that and the listener are kept as one, so
 * that a reload during start-up is not lost. Safe for use by several threads.
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
        Signal reload = new Signal(signal);
        SignalHandler handler = raised -> {
            receive();
            received.run();
        };
        if (Signal.handle(reload, handler) == SignalHandler.SIG_IGN) {
            takeOverIgnored(reload, handler);
        }
    }

    private static void takeOverIgnored(Signal reload, SignalHandler handler) {
        try {
            IgnoredSignal.stopIgnoring(reload);
            Signal.handle(reload, handler);
        } catch (LinkageError e) {
            System.err.println(
                    "mintstair: " + reload + " is ignored, as by nohup, and can't be taken over: settings are"
                            + " not read anew while this runs: "
                            + FirstLine.of(e));
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
