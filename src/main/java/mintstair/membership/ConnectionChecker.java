package mintstair.membership;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import mintstair.membership.swim.ConnectionCheckResult;

/**
 * Connections that distinguish a crashed process from an unresponsive one. Each member listens, sends its name to
 * whoever connects, and closes. The kernel of a stopped process accepts the connection, and no name comes; where the
 * process is gone the connection is refused.
 *
 * <p>Never blocks. Not thread-safe: used by the thread that owns the selector.
 */
final class ConnectionChecker implements AutoCloseable {
    /** Receives the result of each check. */
    interface Listener {
        void checked(long sequence, ConnectionCheckResult result);
    }

    /**
     * Bound of the checks in flight; further ones count as unresponsive. The protocol probes one member at a time, so
     * one or two of these descriptors are in use, each for at most {@link #TIMEOUT_MICROS}.
     */
    static final int MAX_IN_FLIGHT = 1_024;

    static final long TIMEOUT_MICROS = 250_000;

    /** A connection to another member, and what it has sent so far. */
    private static final class PendingCheck {
        private final SocketChannel channel;
        private final long sequence;
        private final String target;
        private final long deadlineMicros;
        private final ByteBuffer reply = ByteBuffer.allocate(MessageCodec.MAX_NAME_BYTES + 1);

        PendingCheck(SocketChannel channel, long sequence, String target, long deadlineMicros) {
            this.channel = channel;
            this.sequence = sequence;
            this.target = target;
            this.deadlineMicros = deadlineMicros;
        }

        /** Reads what has arrived; whether the reply is complete. */
        boolean readReply() throws IOException {
            return channel.read(reply) < 0 || !reply.hasRemaining();
        }

        /** The result for a reply that is complete or was cut off. */
        ConnectionCheckResult result() {
            String line = new String(reply.array(), 0, reply.position(), StandardCharsets.UTF_8);
            return line.equals(nameLine(target)) ? ConnectionCheckResult.ANSWERED : ConnectionCheckResult.PROCESS_GONE;
        }
    }

    private final Selector selector;
    private final String name;
    private final InetAddress localAddress;
    private final Listener listener;
    private final ServerSocketChannel server;
    private final Set<PendingCheck> inFlight = new LinkedHashSet<>();

    /**
     * Binds the server socket.
     *
     * @param name this member's name, which is sent to whoever connects
     * @param listen address of the server socket
     * @throws IOException if the address is not available
     */
    ConnectionChecker(Selector selector, String name, InetSocketAddress listen, Listener listener) throws IOException {
        this.selector = selector;
        this.name = name;
        this.listener = listener;
        localAddress = listen.getAddress();
        server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(listen, MAX_IN_FLIGHT);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT, this);
        } catch (IOException e) {
            server.close();
            throw e;
        }
    }

    private static String nameLine(String memberName) {
        return memberName + '\n';
    }

    /**
     * Starts a check; the listener may be called before this returns.
     *
     * @param sequence number that is handed to the listener with the result
     * @param target name of the member that is expected to answer
     */
    void start(long nowMicros, long sequence, String target, InetSocketAddress address) {
        if (inFlight.size() >= MAX_IN_FLIGHT || address.isUnresolved()) {
            listener.checked(sequence, ConnectionCheckResult.UNRESPONSIVE);
            return;
        }
        PendingCheck check = null;
        try {
            SocketChannel channel = SocketChannel.open();
            check = new PendingCheck(channel, sequence, target, nowMicros + TIMEOUT_MICROS);
            inFlight.add(check);
            connect(check, address);
        } catch (IOException e) {
            // No socket or no route at this end: that is no evidence about the other end.
            if (check == null) {
                listener.checked(sequence, ConnectionCheckResult.UNRESPONSIVE);
            } else {
                finish(check, ConnectionCheckResult.UNRESPONSIVE);
            }
        }
    }

    private void connect(PendingCheck check, InetSocketAddress address) throws IOException {
        SocketChannel channel = check.channel;
        channel.configureBlocking(false);
        if (!localAddress.isAnyLocalAddress()) {
            channel.bind(new InetSocketAddress(localAddress, 0));
        }
        boolean connected = channel.connect(address);
        channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, check);
    }

    /** Handles a ready key if it belongs to one of these connections; returns whether it does. */
    boolean handle(SelectionKey key) {
        if (key.attachment() == this) {
            answerCaller();
            return true;
        }
        if (key.attachment() instanceof PendingCheck check) {
            advance(key, check);
            return true;
        }
        return false;
    }

    /** Sends this member's name; such a short line fits the socket's buffer, so that one write is enough. */
    private void answerCaller() {
        try (SocketChannel caller = server.accept()) {
            if (caller != null) {
                caller.configureBlocking(false);
                caller.write(ByteBuffer.wrap(nameLine(name).getBytes(StandardCharsets.UTF_8)));
            }
        } catch (IOException e) {
            // The caller has closed the connection; its check has ended without this answer.
        }
    }

    private void advance(SelectionKey key, PendingCheck check) {
        try {
            if (key.isConnectable()) {
                check.channel.finishConnect();
                key.interestOps(SelectionKey.OP_READ);
                return;
            }
            if (!check.readReply()) {
                return;
            }
        } catch (ConnectException e) {
            finish(check, isRefused(e) ? ConnectionCheckResult.PROCESS_GONE : ConnectionCheckResult.UNRESPONSIVE);
            return;
        } catch (IOException e) {
            // A reset counts like a close: what arrived before decides.
        }
        finish(check, check.result());
    }

    /** Unlike a time-out or a missing route, a refusal shows that the machine runs and the process does not. */
    private static boolean isRefused(ConnectException failure) {
        return String.valueOf(failure.getMessage()).contains("refused");
    }

    /** Ends checks that have timed out. */
    void expire(long nowMicros) {
        for (PendingCheck check : Set.copyOf(inFlight)) {
            if (nowMicros >= check.deadlineMicros) {
                finish(check, ConnectionCheckResult.UNRESPONSIVE);
            }
        }
    }

    private void finish(PendingCheck check, ConnectionCheckResult result) {
        inFlight.remove(check);
        closeQuietly(check.channel);
        listener.checked(check.sequence, result);
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // The descriptor is released even then, and the result does not depend on it.
        }
    }

    @Override
    public void close() throws IOException {
        inFlight.forEach(check -> closeQuietly(check.channel));
        server.close();
    }
}
