package mintstair.serve;

import com.sun.jna.Function;
import com.sun.jna.NativeLibrary;
import sun.misc.Signal;

/**
 * Stops ignoring a signal whose disposition SIG_IGN was inherited from the parent process. While SIGHUP is ignored the
 * virtual machine accepts no handler for it, and Java cannot change the disposition; {@code signal} of the C library
 * can.
 */
final class IgnoredSignal {
    private IgnoredSignal() {}

    /**
     * Installs a C function without side effects as handler of the signal. The default disposition would terminate the
     * process if the signal arrived before the virtual machine has installed its handler.
     *
     * @throws LinkageError if the C library cannot be called
     */
    static void stopIgnoring(Signal signal) {
        NativeLibrary cLibrary = NativeLibrary.getProcess();
        Function noOpHandler = cLibrary.getFunction("abs");
        cLibrary.getFunction("signal").invokePointer(new Object[] {signal.getNumber(), noOpHandler});
    }
}
