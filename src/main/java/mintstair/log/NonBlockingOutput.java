package mintstair.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A bounded buffer before a stream that may block, emptied by a thread of its own: a log that nobody reads blocks no
 * thread of the program. Writes beyond the bound are dropped, and the log says how many as soon as it is read again.
 * Safe for use by several threads.
 */
public final class NonBlockingOutput extends OutputStream {
    /** More than a minute of lines of a proxy in trouble, and little beside the heap. */
    private static final int MAX_BYTES = 256 * 1024;

    /** Standard output and standard error, once they are replaced. */
    private static volatile List<NonBlockingOutput> installed = List.of();

    private final OutputStream target;

    /** Guarded by this object. */
    private final ArrayDeque<byte[]> buffer = new ArrayDeque<>();

    /** Guarded by this object. */
    private int bufferedBytes;

    /** Whether the thread is writing what it has taken from the buffer. Guarded by this object. */
    private boolean writing;

    /** Guarded by this object. */
    private boolean targetFailed;

    /** Writes dropped since the log last said how many. Guarded by this object. */
    private long unreportedDrops;

    /** Guarded by this object. */
    private long drops;

    /** Starts a daemon thread of this name, which writes to the target. */
    public NonBlockingOutput(OutputStream target, String threadName) {
        this.target = target;
        Thread thread = new Thread(this::writeToTarget, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    /** Replaces standard output and standard error; {@link #drainStandardStreams} is due before the process ends. */
    public static void install() {
        NonBlockingOutput out = new NonBlockingOutput(System.out, "standard output");
        NonBlockingOutput err = new NonBlockingOutput(System.err, "standard error");
        System.setOut(new PrintStream(out, true));
        System.setErr(new PrintStream(err, true));
        installed = List.of(out, err);
    }

    /** Waits until standard output and standard error are written, for so many milliseconds at most for each. */
    public static void drainStandardStreams(long timeoutMillis) {
        System.out.flush();
        System.err.flush();
        installed.forEach(output -> output.drain(timeoutMillis));
    }

    /** How many writes to standard output and standard error were dropped. */
    public static long droppedByStandardStreams() {
        return installed.stream().mapToLong(NonBlockingOutput::droppedWrites).sum();
    }

    @Override
    public void write(int oneByte) {
        write(new byte[] {(byte) oneByte}, 0, 1);
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int count) {
        if (targetFailed || bufferedBytes + count > MAX_BYTES) {
            unreportedDrops++;
            drops++;
            return;
        }
        byte[] copy = new byte[count];
        System.arraycopy(bytes, offset, copy, 0, count);
        add(copy);
        notifyAll();
    }

    /** Called under the lock. */
    private void add(byte[] bytes) {
        buffer.add(bytes);
        bufferedBytes += bytes.length;
    }

    /** Waits until all is written, for so many milliseconds at most; returns whether it is. */
    public synchronized boolean drain(long timeoutMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long remainingMillis = timeoutMillis;
        try {
            while (!isDrained() && remainingMillis > 0) {
                wait(remainingMillis);
                remainingMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return isDrained();
    }

    /** Called under the lock. */
    private boolean isDrained() {
        return !writing && buffer.isEmpty();
    }

    /** How many writes were dropped. */
    public synchronized long droppedWrites() {
        return drops;
    }

    /** The thread's task. */
    private void writeToTarget() {
        try {
            while (true) {
                target.write(takeNext());
                target.flush();
                written();
            }
        } catch (IOException e) {
            fail();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized byte[] takeNext() throws InterruptedException {
        while (buffer.isEmpty()) {
            wait();
        }
        writing = true;
        byte[] next = buffer.poll();
        bufferedBytes -= next.length;
        if (buffer.isEmpty() && unreportedDrops > 0) {
            String report = "log: " + unreportedDrops + " lines were dropped, as nobody read them\n";
            unreportedDrops = 0;
            add(report.getBytes(StandardCharsets.UTF_8));
        }
        return next;
    }

    private synchronized void written() {
        writing = false;
        notifyAll();
    }

    /** The reader is gone: there is nowhere left to report this, and what is written from now on is dropped. */
    private synchronized void fail() {
        targetFailed = true;
        writing = false;
        buffer.clear();
        notifyAll();
    }
}
