package mintstair.serve;

import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;

/**
 * Retries the creation of sockets during start-up while the system has no resources for one, for example when a process
 * is restarted under load. An address that cannot be bound is a configuration error and fails at once.
 */
final class SocketRetry {
    /** Less than the platform's limit for a restarted process to become ready, as the rest of the start takes time. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(50);

    private SocketRetry() {}

    /** Creates an object that owns a socket; must leave nothing open if it fails. */
    interface SocketFactory<T> {
        T create() throws IOException;
    }

    /**
     * Blocks until a socket can be created. The virtual machine detects socket features once, when the first socket is
     * created, and does not repeat a failed detection.
     */
    static void awaitSockets() throws IOException {
        retry(ServerSocketChannel::open).close();
    }

    /**
     * Calls the factory until it succeeds, fails permanently, or the timeout expires. Blocks the calling thread.
     *
     * @throws IOException the failure of the last attempt
     */
    static <T> T retry(SocketFactory<T> factory) throws IOException {
        long endNanos = System.nanoTime() + TIMEOUT.toNanos();
        boolean logged = false;
        while (true) {
            try {
                return factory.create();
            } catch (IOException e) {
                if (!isTransient(e) || System.nanoTime() > endNanos) {
                    throw e;
                }
                if (!logged) {
                    System.err.println("starting: " + e.getMessage() + "; retrying until a socket is available");
                }
                logged = true;
            }
            pause();
        }
    }

    private static boolean isTransient(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof SocketException) {
                return !(cause instanceof BindException);
            }
        }
        return false;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(RETRY_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a socket", e);
        }
    }
}
