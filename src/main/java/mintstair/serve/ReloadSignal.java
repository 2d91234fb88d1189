package mintstair.serve;

import mintstair.config.FirstLine;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Receives the reload signal, SIGHUP. The default handler of the virtual machine, which is installed before {@code
 * main} runs, would terminate the process; a launcher avoids that by starting the process with the signal ignored.
 * Signals that arrive before this object exists are lost, so the configuration must be read afterwards. Signals that
 * arrive before a listener is set cause one reload when it is set. Thread-safe.
 */
public final class ReloadSignal {
    private static final String SIGHUP = "HUP";

    /** Guarded by this object. */
    private Runnable listener;

    /** Guarded by this object. */
    private boolean pending;

    /** Installs a handler for SIGHUP. */
    public ReloadSignal() {
        this(SIGHUP, () -> {});
    }

    /** Installs a handler for this signal; {@code received} runs on the signal thread after each one is handled. */
    ReloadSignal(String signal, Runnable received) {
        Signal reload = new Signal(signal);
        SignalHandler handler = raised -> {
            receive();
            received.run();
        };
        if (Signal.handle(reload, handler) == SignalHandler.SIG_IGN) {
            replaceIgnored(reload, handler);
        }
    }

    private static void replaceIgnored(Signal reload, SignalHandler handler) {
        try {
            IgnoredSignal.stopIgnoring(reload);
            Signal.handle(reload, handler);
        } catch (LinkageError e) {
            System.err.println("mintstair: " + reload + " is ignored (nohup?) and no handler can be installed, so the"
                    + " configuration cannot be reloaded: "
                    + FirstLine.of(e));
        }
    }

    /** Holds the lock, so that a signal that arrives during a reload is handled after it. */
    private synchronized void receive() {
        if (listener == null) {
            pending = true;
        } else {
            listener.run();
        }
    }

    /** Sets the action that runs on the signal thread for each signal; runs it at once if a signal is pending. */
    synchronized void onReload(Runnable reload) {
        listener = reload;
        if (pending) {
            pending = false;
            reload.run();
        }
    }
}
