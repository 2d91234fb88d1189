package mintstair.wire;

import com.sun.jna.Function;
import com.sun.jna.NativeLibrary;
import com.sun.jna.NativeLong;
import java.lang.reflect.Method;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.SocketChannel;
import java.util.Optional;

/**
 * Asks the kernel for the state of a socket without reading from it, with {@code poll(2)}. Java offers no such call: a
 * selector reports the end of the input only for a socket whose input is read.
 *
 * <p>The file descriptor of a channel is obtained from {@code sun.nio.ch.SelChImpl}, which {@code java.base} must export
 * to this program ({@code Add-Exports} in the manifest of the jar). Thread-safe.
 */
public final class SocketPoll {
    /** The event bits of {@code poll(2)} on Linux. */
    private static final short POLLIN = 0x1;

    private static final short POLLERR = 0x8;
    private static final short POLLHUP = 0x10;
    private static final short POLLNVAL = 0x20;
    private static final short POLLRDHUP = 0x2000;
    private static final int CLOSED_EVENTS = POLLERR | POLLHUP | POLLNVAL | POLLRDHUP;

    /** The layout of {@code struct pollfd}: an int and two shorts. */
    private static final int POLLFD_LENGTH = 8;

    private static final int EVENTS_OFFSET = 4;
    private static final int RETURNED_EVENTS_OFFSET = 6;

    private static final SocketState CLOSED = new SocketState(false, true);
    private static final SocketPoll INSTANCE = load();

    private final Method fileDescriptor;
    private final Function poll;
    private final ThreadLocal<ByteBuffer> pollfd = ThreadLocal.withInitial(
            () -> ByteBuffer.allocateDirect(POLLFD_LENGTH).order(ByteOrder.nativeOrder()));

    private SocketPoll(Method fileDescriptor, Function poll) {
        this.fileDescriptor = fileDescriptor;
        this.poll = poll;
    }

    /** Returns null, after one line for operators, if the kernel cannot be asked on this platform. */
    private static SocketPoll load() {
        try {
            Method fileDescriptor = Class.forName("sun.nio.ch.SelChImpl").getMethod("getFDVal");
            Function poll = NativeLibrary.getProcess().getFunction("poll");
            return new SocketPoll(fileDescriptor, poll);
        } catch (ReflectiveOperationException | LinkageError e) {
            System.err.println("front: closes of clients that are not read cannot be detected: " + e);
            return null;
        }
    }

    /** Returns the state of the socket, or nothing if it cannot be determined on this platform. */
    public static Optional<SocketState> of(SocketChannel channel) {
        if (!channel.isOpen()) {
            return Optional.of(CLOSED);
        }
        return INSTANCE == null ? Optional.empty() : INSTANCE.state(channel);
    }

    private Optional<SocketState> state(SocketChannel channel) {
        int descriptor;
        try {
            descriptor = (int) fileDescriptor.invoke(channel);
        } catch (ReflectiveOperationException e) {
            return Optional.empty();
        }
        ByteBuffer entry = pollfd.get();
        entry.putInt(0, descriptor);
        entry.putShort(EVENTS_OFFSET, (short) (POLLIN | POLLRDHUP));
        entry.putShort(RETURNED_EVENTS_OFFSET, (short) 0);
        int returned = poll.invokeInt(new Object[] {entry, new NativeLong(1), 0});
        if (returned < 0) {
            return Optional.empty();
        }
        int events = entry.getShort(RETURNED_EVENTS_OFFSET);
        return Optional.of(new SocketState((events & POLLIN) != 0, (events & CLOSED_EVENTS) != 0));
    }
}
