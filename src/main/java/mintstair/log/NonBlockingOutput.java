package mintstair.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An output stream with a bounded buffer that a dedicated thread writes to a target stream, so that a log whose reader
 * has stopped blocks no other thread of the program. Writes that exceed the buffer are dropped, and a line reports
 * their number once the target accepts data again. Thread-safe.
 */
public final class NonBlockingOutput extends OutputStream {
    /** Holds more than a minute of lines of a proxy that logs many errors, and is small compared with the heap. */
    private static final int MAX_BYTES = 256 * 1024;

    /** The replacements of standard output and standard error; empty until {@link #install}. */
    private static volatile List<NonBlockingOutput> installed = List.of();

    private final OutputStream target;

    /** Guarded by this object. */
    private final ArrayDeque<byte[]> buffer = new ArrayDeque<>();

    /** Guarded by this object. */
    private int bufferedBytes;

    /** Whether the thread is writing bytes that it has removed from the buffer. Guarded by this object. */
    private boolean writing;

    /** Guarded by this object. */
    private boolean targetFailed;

    /** The number of writes dropped since the last report. Guarded by this object. */
    private long unreportedDrops;

    /** Guarded by this object. */
    private long drops;

    /** Starts a daemon thread with this name that writes to the target. */
    public NonBlockingOutput(OutputStream target, String threadName) {
        this.target = target;
        Thread thread = new Thread(this::writeToTarget, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    /** Replaces standard output and standard error; call {@link #drainStandardStreams} before the process exits. */
    public static void install() {
        NonBlockingOutput out = new NonBlockingOutput(System.out, "standard output");
        NonBlockingOutput err = new NonBlockingOutput(System.err, "standard error");
        System.setOut(new PrintStream(out, true));
        System.setErr(new PrintStream(err, true));
        installed = List.of(out, err);
    }

    /** Waits until standard output and standard error are written, at most the timeout for each of them. */
    public static void drainStandardStreams(long timeoutMillis) {
        System.out.flush();
        System.err.flush();
        installed.forEach(output -> output.drain(timeoutMillis));
    }

    /** Returns the number of dropped writes to standard output and standard error. */
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

    /** Requires the lock of this object. */
    private void add(byte[] bytes) {
        buffer.add(bytes);
        bufferedBytes += bytes.length;
    }

    /** Waits until all buffered bytes are written, at most the timeout; returns whether they are. */
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

    /** Requires the lock of this object. */
    private boolean isDrained() {
        return !writing && buffer.isEmpty();
    }

    /** Returns the number of dropped writes. */
    public synchronized long droppedWrites() {
        return drops;
    }

    /** Runs on the dedicated thread until the target fails. */
    private void writeToTarget() {
        try {
            while (true) {
                target.write(takeNext());
                target.flush();
                onWritten();
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
            String report = "log: " + unreportedDrops + " lines were dropped because the output was not read\n";
            unreportedDrops = 0;
            add(report.getBytes(StandardCharsets.UTF_8));
        }
        return next;
    }

    private synchronized void onWritten() {
        writing = false;
        notifyAll();
    }

    /** Discards the buffer and all later writes: the target has failed, so the failure cannot be reported there. */
    private synchronized void fail() {
        targetFailed = true;
        writing = false;
        buffer.clear();
        notifyAll();
    }
}
