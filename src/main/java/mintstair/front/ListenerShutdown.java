package mintstair.front;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.util.concurrent.CompletableFuture;
import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Closes a listener without losing the connections that the kernel has accepted for it. A close resets them, even where
 * another process listens on the same address, so each is accepted first. The channel leaves its selector before, as
 * the selector would delay the close.
 */
final class ListenerShutdown {
    private static final long DEREGISTRATION_POLL_MICROS = 500;
    private static final int MAX_ACCEPT_RETRIES = 40;
    private static final long ACCEPT_RETRY_MICROS = 5_000;

    private final TCPNIOServerConnection listener;
    private final EventLoop loop;
    private final int backlog;
    private final CompletableFuture<Void> done = new CompletableFuture<>();

    ListenerShutdown(TCPNIOServerConnection listener, EventLoop loop, int backlog) {
        this.listener = listener;
        this.loop = loop;
        this.backlog = backlog;
    }

    /** Begins; the result is complete, on the loop, when each accepted connection is a session or was rejected. */
    CompletableFuture<Void> start() {
        listener.executeInEventThread(IOEvent.SERVER_ACCEPT, () -> {
            listener.getSelectionKey().cancel();
            loop.execute(() -> acceptAndClose(MAX_ACCEPT_RETRIES));
        });
        return done;
    }

    private void acceptAndClose(int retriesLeft) {
        if (listener.getChannel().isRegistered()) {
            loop.at(loop.now() + DEREGISTRATION_POLL_MICROS, () -> acceptAndClose(retriesLeft));
            return;
        }
        try {
            acceptBacklog();
        } catch (IOException e) {
            // File descriptors may have run out for a moment.
            if (retriesLeft > 0) {
                loop.at(loop.now() + ACCEPT_RETRY_MICROS, () -> acceptAndClose(retriesLeft - 1));
                return;
            }
            System.err.println("front: clients that wait are reset: " + e.getMessage());
        }
        close(listener.getChannel());
        // Not on the network thread: a listener registered there right after was not noticed for 10 s.
        listener.closeSilently();
        // The sessions accepted just now are on their way to the loop, ahead of this.
        loop.execute(() -> done.complete(null));
    }

    /** A call accepts one connection, or returns at once where there is none. */
    private void acceptBacklog() throws IOException {
        for (int i = 0; i < backlog; i++) {
            listener.onAccept();
        }
    }

    private static void close(SelectableChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            System.err.println("front: " + e.getMessage());
        }
    }
}
