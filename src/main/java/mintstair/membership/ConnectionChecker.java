package mintstair.membership;

import java.io.IOException;
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
import mintstair.membership.swim.Swim;

/**
 * Connections that show whether a process is there where datagrams got no answer: whoever is connected to says its name and closes.
 * A process that stands still is connected to by its kernel and says nothing; one that is gone is turned away. On the thread of the
 * member, without blocking it.
 */
final class ConnectionChecker {
    /** Takes what came of a check. */
    interface Taker {
        void checked(long number, Swim.Check result);
    }

    /**
     * More checks are not begun: they count as silent. The protocol probes one member after the other, so that of these
     * descriptors, each for a quarter of a second at most, one or two are in use.
     */
    static final int MOST = 1_024;

    private static final long GIVEN_UP_AFTER = 250_000;

    /** One connection out, and what it has said so far. */
    private static final class Out {
        final SocketChannel channel;
        final long number;
        final String target;
        final long due;
        final ByteBuffer said = ByteBuffer.allocate(MessageCodec.NAME + 1);

        Out(SocketChannel channel, long number, String target, long due) {
            this.channel = channel;
            this.number = number;
            this.target = target;
            this.due = due;
        }
    }

    private final Selector selector;
    private final String name;
    private final InetAddress from;
    private final Taker taker;
    private final ServerSocketChannel listener;
    private final Set<Out> out = new LinkedHashSet<>();

    ConnectionChecker(Selector selector, String name, InetSocketAddress listen, Taker taker) throws IOException {
        this.selector = selector;
        this.name = name;
        this.taker = taker;
        from = listen.getAddress();
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(listen, MOST);
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT, this);
        } catch (IOException e) {
            listener.close();
            throw e;
        }
    }

    void begin(long now, long number, String target, InetSocketAddress address) {
        if (out.size() >= MOST || address.isUnresolved()) {
            taker.checked(number, Swim.Check.SILENT);
            return;
        }
        Out check = null;
        try {
            SocketChannel channel = SocketChannel.open();
            check = new Out(channel, number, target, now + GIVEN_UP_AFTER);
            out.add(check);
            channel.configureBlocking(false);
            if (!from.isAnyLocalAddress()) {
                channel.bind(new InetSocketAddress(from, 0));
            }
            channel.register(
                    selector, channel.connect(address) ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, check);
        } catch (IOException e) {
            // That this end has no socket or no way there tells nothing of the other.
            if (check == null) {
                taker.checked(number, Swim.Check.SILENT);
            } else {
                end(check, Swim.Check.SILENT);
            }
        }
    }

    /** Whether the key is one of these connections; it is then handled. */
    boolean handles(SelectionKey key) {
        if (key.attachment() == this) {
            greet();
        } else if (key.attachment() instanceof Out check) {
            hear(key, check);
        } else {
            return false;
        }
        return true;
    }

    /** Says this member's name to whoever connects; a short line always fits what the kernel takes at once. */
    private void greet() {
        try (SocketChannel caller = listener.accept()) {
            if (caller != null) {
                caller.configureBlocking(false);
                caller.write(ByteBuffer.wrap((name + '\n').getBytes(StandardCharsets.UTF_8)));
            }
        } catch (IOException e) {
            // The caller is gone already.
        }
    }

    private void hear(SelectionKey key, Out check) {
        try {
            if (key.isConnectable()) {
                check.channel.finishConnect();
                key.interestOps(SelectionKey.OP_READ);
                return;
            }
            if (check.channel.read(check.said) >= 0 && check.said.hasRemaining()) {
                return;
            }
        } catch (java.net.ConnectException e) {
            boolean refused = String.valueOf(e.getMessage()).contains("refused");
            end(check, refused ? Swim.Check.CLOSED : Swim.Check.SILENT);
            return;
        } catch (IOException e) {
            // Reset: as good as closed, judged by what was said before.
        }
        String said = new String(check.said.array(), 0, check.said.position(), StandardCharsets.UTF_8);
        end(check, said.equals(check.target + '\n') ? Swim.Check.ANSWERED : Swim.Check.CLOSED);
    }

    /** Gives up those that said nothing in time. */
    void expire(long now) {
        for (Out check : Set.copyOf(out)) {
            if (now >= check.due) {
                end(check, Swim.Check.SILENT);
            }
        }
    }

    private void end(Out check, Swim.Check result) {
        out.remove(check);
        close(check.channel);
        taker.checked(check.number, result);
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    void close() throws IOException {
        out.forEach(check -> close(check.channel));
        listener.close();
    }
}
