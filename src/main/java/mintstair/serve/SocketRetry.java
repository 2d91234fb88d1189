package mintstair.serve;

import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;

/**
 * Retries the creation of sockets during start-up while the system has none to give, as after a crash under load. An
 * address that cannot be bound is a fault of the configuration and fails at once.
 */
final class SocketRetry {
    /** The platform's limit for a restarted process to become ready, less the rest of the start. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(50);

    private SocketRetry() {}

    /** Creates something that holds a socket; leaves nothing open where it fails. */
    interface SocketFactory<T> {
        T create() throws IOException;
    }

    /**
     * Waits until the system gives a socket: what the virtual machine probes at the first one, it never probes again.
     */
    static void awaitSockets() throws IOException {
        retry(ServerSocketChannel::open).close();
    }

    /**
     * Calls the factory until it succeeds, fails for good, or the timeout is over. Blocks the calling thread.
     *
     * @throws IOException what the last attempt threw
     */
    static <T> T retry(SocketFactory<T> factory) throws IOException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        boolean logged = false;
        while (true) {
            try {
                return factory.create();
            } catch (IOException e) {
                if (!isTransient(e) || System.nanoTime() > end) {
                    throw e;
                }
                if (!logged) {
                    System.err.println("starting: " + e.getMessage() + "; tried again until a socket is to be had");
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
            throw new IOException("interrupted", e);
        }
    }
}
