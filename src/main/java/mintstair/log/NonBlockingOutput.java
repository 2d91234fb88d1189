package mintstair.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Takes what is written to it at once and passes it on with a thread of its own, so that a log that nobody reads holds up nobody: past
 * a bound what is written is dropped, and the log says how much as soon as it is read again. Safe for use by several threads.
 */
public final class NonBlockingOutput extends OutputStream {
    /** More than a minute of lines at a proxy in trouble, and little beside the heap. */
    private static final int MOST_BYTES = 256 * 1024;

    private static volatile List<NonBlockingOutput> installed = List.of();

    private final OutputStream target;
    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private boolean passing;
    private boolean broken;
    private long dropped;
    private long droppedInAll;

    /** Passes on to this stream, which may block. */
    public NonBlockingOutput(OutputStream target, String name) {
        this.target = target;
        Thread thread = new Thread(this::passOn, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Has standard output and standard error of this process hold up nobody; {@link #drainInstalled} is due before its end. */
    public static void install() {
        NonBlockingOutput out = new NonBlockingOutput(System.out, "standard output");
        NonBlockingOutput err = new NonBlockingOutput(System.err, "standard error");
        System.setOut(new PrintStream(out, true));
        System.setErr(new PrintStream(err, true));
        installed = List.of(out, err);
    }

    /** Waits for what was written to standard output and standard error, so many milliseconds at most for each. */
    public static void drainInstalled(long millis) {
        System.out.flush();
        System.err.flush();
        installed.forEach(each -> each.drain(millis));
    }

    /** How many writes to standard output and standard error were dropped. */
    public static long droppedByInstalled() {
        return installed.stream().mapToLong(NonBlockingOutput::dropped).sum();
    }

    @Override
    public void write(int oneByte) {
        write(new byte[] {(byte) oneByte}, 0, 1);
    }

    @Override
    public synchronized void write(byte[] bytes, int from, int count) {
        if (broken || waitingBytes + count > MOST_BYTES) {
            dropped++;
            droppedInAll++;
            return;
        }
        byte[] copy = new byte[count];
        System.arraycopy(bytes, from, copy, 0, count);
        waiting.add(copy);
        waitingBytes += count;
        notifyAll();
    }

    /** Waits until all is passed on, so many milliseconds at most; returns whether it is. */
    public synchronized boolean drain(long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        try {
            for (long left = millis; (passing || !waiting.isEmpty()) && left > 0; ) {
                wait(left);
                left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return !passing && waiting.isEmpty();
    }

    /** How many writes were dropped, as too much was waiting. */
    public synchronized long dropped() {
        return droppedInAll;
    }

    private void passOn() {
        try {
            while (true) {
                target.write(next());
                target.flush();
                passed();
            }
        } catch (IOException e) {
            broken();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Nobody is left to read: what is written from now on is dropped. */
    private synchronized void broken() {
        broken = true;
        passing = false;
        waiting.clear();
        notifyAll();
    }

    private synchronized byte[] next() throws InterruptedException {
        while (waiting.isEmpty()) {
            wait();
        }
        passing = true;
        byte[] next = waiting.poll();
        waitingBytes -= next.length;
        if (waiting.isEmpty() && dropped > 0) {
            byte[] told =
                    ("log: " + dropped + " lines were dropped, as nobody read them\n").getBytes(StandardCharsets.UTF_8);
            dropped = 0;
            waiting.add(told);
            waitingBytes += told.length;
        }
        return next;
    }

    private synchronized void passed() {
        passing = false;
        notifyAll();
    }
}
