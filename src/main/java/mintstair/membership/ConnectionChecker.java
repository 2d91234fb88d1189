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
 * Checks by a TCP connection whether a member's process has ended or is only unresponsive. Each member listens, sends
 * its name on every accepted connection and closes it. If the process has ended, the connection is refused. If the
 * process is stopped, its kernel still accepts the connection, but no name is received.
 *
 * <p>No method blocks. Not thread-safe: used only by the thread that owns the selector.
 */
final class ConnectionChecker implements AutoCloseable {
    /** Receives the result of each check. */
    interface Listener {
        /** Called once for each check, with the sequence number that was given to {@link ConnectionChecker#start}. */
        void onCheckCompleted(long sequence, ConnectionCheckResult result);
    }

    /**
     * Maximum number of checks in flight; further checks are reported as unresponsive. The protocol probes one member
     * at a time, so normally one or two descriptors are in use, each for at most {@link #TIMEOUT_MICROS}.
     */
    static final int MAX_IN_FLIGHT = 1_024;

    static final long TIMEOUT_MICROS = 250_000;

    /** A connection to another member and the bytes received on it so far. */
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

        /** Reads the bytes that have arrived; returns true at the end of the stream or once the buffer is full. */
        boolean readReply() throws IOException {
            return channel.read(reply) < 0 || !reply.hasRemaining();
        }

        /** Returns the result for the bytes received so far, which must be exactly the target's name and a newline. */
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
     * Binds the server socket and registers it with the selector.
     *
     * @param name this member's name, sent on each accepted connection
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
     * Starts a check. The listener may be called before this method returns.
     *
     * @param sequence number that identifies the check and is passed to the listener with the result
     * @param target name of the member that is expected to answer
     */
    void start(long nowMicros, long sequence, String target, InetSocketAddress address) {
        if (inFlight.size() >= MAX_IN_FLIGHT || address.isUnresolved()) {
            listener.onCheckCompleted(sequence, ConnectionCheckResult.UNRESPONSIVE);
            return;
        }
        PendingCheck check = null;
        try {
            SocketChannel channel = SocketChannel.open();
            check = new PendingCheck(channel, sequence, target, nowMicros + TIMEOUT_MICROS);
            inFlight.add(check);
            connect(check, address);
        } catch (IOException e) {
            // A local failure, such as no free descriptor or no route, says nothing about the target's process.
            if (check == null) {
                listener.onCheckCompleted(sequence, ConnectionCheckResult.UNRESPONSIVE);
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

    /** Handles a ready key if it belongs to this checker; returns whether it does. */
    boolean handle(SelectionKey key) {
        if (key.attachment() == this) {
            acceptAndSendName();
            return true;
        }
        if (key.attachment() instanceof PendingCheck check) {
            advance(key, check);
            return true;
        }
        return false;
    }

    /** Accepts a connection and sends this member's name; the line fits the send buffer, so one write is enough. */
    private void acceptAndSendName() {
        try (SocketChannel peer = server.accept()) {
            if (peer != null) {
                peer.configureBlocking(false);
                peer.write(ByteBuffer.wrap(nameLine(name).getBytes(StandardCharsets.UTF_8)));
            }
        } catch (IOException e) {
            // The peer has closed the connection, so its check has already ended.
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
            // A reset counts as the end of the stream: the result depends on the bytes received before it.
        }
        finish(check, check.result());
    }

    /** A refusal, unlike a timeout or a missing route, shows that the machine is up and the process is not running. */
    private static boolean isRefused(ConnectException failure) {
        return String.valueOf(failure.getMessage()).contains("refused");
    }

    /** Reports checks that have timed out as unresponsive. */
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
        listener.onCheckCompleted(check.sequence, result);
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // The descriptor is released even if close fails, and the result of the check does not depend on it.
        }
    }

    @Override
    public void close() throws IOException {
        inFlight.forEach(check -> closeQuietly(check.channel));
        server.close();
    }
}
