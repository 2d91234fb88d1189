package mintstair.log;

/**
 * A task of a schedule. An executor drops a periodic task for good, without a word, when one run of it throws: whatever
 * this one throws is reported on standard error, and the schedule goes on.
 */
public final class GuardedTask implements Runnable {
    private final String part;
    private final Runnable task;

    /** Guards the task; {@code part} of the program begins the line of a report. */
    public GuardedTask(String part, Runnable task) {
        this.part = part;
        this.task = task;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (Throwable failure) {
            System.err.println(part + ": unexpected: " + failure);
            failure.printStackTrace();
        }
    }
}
