package mintstair.log;

/**
 * Ends the process after an error of the virtual machine, such as a full heap. What the failed thread was doing is
 * lost, and without one of its threads the process would stay and serve nobody; a new process serves again. A stack
 * overflow is not fatal, as it only concerns the task that recursed too deep.
 *
 * <p>The process ends itself, rather than by an option of the virtual machine, so that it does however it was started.
 */
public final class FatalErrors {
    /** The exit status after a fatal error; the same as with the option {@code -XX:+ExitOnOutOfMemoryError}. */
    public static final int EXIT_STATUS = 3;

    private static final long LOG_DRAIN_TIMEOUT_MILLIS = 200;

    private FatalErrors() {}

    /** Ends the process if one of its threads ends by a fatal error; other exceptions are printed, as by default. */
    public static void install() {
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            exitIfFatal(failure);
            System.err.println("unexpected: " + failure + " in thread " + thread.getName());
            failure.printStackTrace();
        });
    }

    /** Ends the process at once, without its shutdown hooks, if the failure is fatal; otherwise does nothing. */
    public static void exitIfFatal(Throwable failure) {
        if (!(failure instanceof VirtualMachineError) || failure instanceof StackOverflowError) {
            return;
        }
        try {
            System.err.println("fatal: " + failure + "; the process ends");
            NonBlockingOutput.drainStandardStreams(LOG_DRAIN_TIMEOUT_MILLIS);
        } finally {
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }
}
