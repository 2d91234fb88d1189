package mintstair.serve;

import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Makes sockets of the start again where the system has none to give for a moment, as after a crash under load. An address that cannot be
 * had is a fault of the configuration, and is told at once.
 */
final class SocketRetry {
    /** As long as the platform gives a restarted process to become ready, less what the rest of the start takes. */
    private static final long MOST_MILLIS = 20_000;

    private static final long BETWEEN_MILLIS = 50;

    private SocketRetry() {}

    /** Something that makes a socket, and leaves nothing behind where it fails. */
    interface Making<T> {
        T make() throws IOException;
    }

    /** Waits until a socket is to be had: what the virtual machine finds out of sockets at their first use, it never asks again. */
    static void awaitSockets() throws IOException {
        untilMade(ServerSocketChannel::open).close();
    }

    /** What is made, at the first or a later try; throws what the last one threw. */
    static <T> T untilMade(Making<T> making) throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_MILLIS);
        boolean told = false;
        while (true) {
            try {
                return making.make();
            } catch (IOException e) {
                if (!isTransient(e) || System.nanoTime() > end) {
                    throw e;
                }
                if (!told) {
                    System.err.println("starting: " + e.getMessage() + "; tried again until a socket is to be had");
                }
                told = true;
            }
            pause();
        }
    }

    private static boolean isTransient(Throwable failure) {
        for (Throwable each = failure; each != null; each = each.getCause()) {
            if (each instanceof SocketException) {
                return !(each instanceof BindException);
            }
        }
        return false;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(BETWEEN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
