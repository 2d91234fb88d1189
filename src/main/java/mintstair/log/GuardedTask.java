package mintstair.log;

/**
 * A task that prints everything it throws to standard error. An executor silently cancels a periodic task when one of
 * its runs throws; with this wrapper the schedule continues, unless the failure is one of {@link FatalErrors}.
 */
public final class GuardedTask implements Runnable {
    private final String part;
    private final Runnable task;

    /** Wraps the task; {@code part} names the part of the program at the start of the error line. */
    public GuardedTask(String part, Runnable task) {
        this.part = part;
        this.task = task;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (Throwable failure) {
            FatalErrors.exitIfFatal(failure);
            System.err.println(part + ": unexpected: " + failure);
            failure.printStackTrace();
        }
    }
}
