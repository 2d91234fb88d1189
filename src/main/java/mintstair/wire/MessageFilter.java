package mintstair.wire;

import java.nio.ByteBuffer;
import java.util.function.Function;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The Grizzly filter that passes the bytes read from each connection, and its close, to the connection's listener. */
public final class MessageFilter extends BaseFilter {
    /** Receives the events of one connection. */
    public interface Listener {
        /** Called on the network thread before the socket is read, whether or not it has any bytes. */
        default void readStarting() {}

        /** Called on the network thread with bytes that were read. The listener owns the buffer. */
        void read(ByteBuffer bytes);

        /** Called once, on any thread, when the connection was closed by either side. */
        void closed();
    }

    private final Attribute<Listener> listeners =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("listener." + System.identityHashCode(this));
    private final Function<Connection<?>, Listener> onAccept;

    /**
     * Creates a filter for accepted connections.
     *
     * @param onAccept creates the listener of each connection; returns null for a connection that it has closed
     */
    public MessageFilter(Function<Connection<?>, Listener> onAccept) {
        this.onAccept = onAccept;
    }

    /** Creates a filter for outgoing connections. {@link #listen} must be called for each. */
    public MessageFilter() {
        this(null);
    }

    /** Sets the listener of a connection. If that is already closed, {@link Listener#closed} is called immediately. */
    public void listen(Connection<?> connection, Listener listener) {
        listeners.set(connection, listener);
        connection.addCloseListener((Closeable closed, ICloseType by) -> listener.closed());
    }

    /** Returns the listener of a connection, or null if it has none yet. */
    Listener listener(Connection<?> connection) {
        return listeners.get(connection);
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Listener listener = onAccept.apply(context.getConnection());
        if (listener != null) {
            listen(context.getConnection(), listener);
        }
        return context.getStopAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Buffer buffer = context.getMessage();
        Listener listener = listeners.get(context.getConnection());
        if (listener != null) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            listener.read(ByteBuffer.wrap(bytes));
        }
        buffer.tryDispose();
        return context.getStopAction();
    }
}
