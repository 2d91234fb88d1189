package mintstair.front;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.util.concurrent.CompletableFuture;
import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Closes a listener without losing the connections in its accept backlog. The kernel resets them when the socket is
 * closed, even if another process listens on the same address, so each of them is accepted first. The channel is
 * deregistered from its selector before the close, as the selector would delay it.
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

    /** Starts the close; the future completes on the event loop once each connection has a session or was rejected. */
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
            // File descriptors may be exhausted temporarily.
            if (retriesLeft > 0) {
                loop.at(loop.now() + ACCEPT_RETRY_MICROS, () -> acceptAndClose(retriesLeft - 1));
                return;
            }
            System.err.println("front: accept failed; connections in the backlog are reset: " + e.getMessage());
        }
        close(listener.getChannel());
        // Not on the network thread: the selector ignored a listener registered right after such a close for 10 s.
        listener.closeSilently();
        // Runs after the tasks that add the sessions of the connections accepted above.
        loop.execute(() -> done.complete(null));
    }

    /** Each call of {@code onAccept} accepts one connection, or returns at once if there is none. */
    private void acceptBacklog() throws IOException {
        for (int i = 0; i < backlog; i++) {
            listener.onAccept();
        }
    }

    private static void close(SelectableChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            System.err.println("front: closing the listener failed: " + e.getMessage());
        }
    }
}
