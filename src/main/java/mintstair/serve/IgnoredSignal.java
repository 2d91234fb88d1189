package mintstair.serve;

import com.sun.jna.Function;
import com.sun.jna.NativeLibrary;
import sun.misc.Signal;

/**
 * Ends the ignoring of a signal that the process inherited. The virtual machine refuses every handler for SIGHUP while
 * the process ignores it, and Java has no means to change that; the C library's {@code signal} has.
 */
final class IgnoredSignal {
    private IgnoredSignal() {}

    /**
     * From now on the signal calls a C function that has no effect, so that it ends the process at no moment before the
     * virtual machine takes it over.
     *
     * @throws LinkageError where the C library can't be called
     */
    static void stopIgnoring(Signal signal) {
        NativeLibrary cLibrary = NativeLibrary.getProcess();
        Function withoutEffect = cLibrary.getFunction("abs");
        cLibrary.getFunction("signal").invokePointer(new Object[] {signal.getNumber(), withoutEffect});
    }
}
