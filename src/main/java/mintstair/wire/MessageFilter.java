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

/** The Grizzly filter that hands the reads and the end of each connection to its listener. */
public final class MessageFilter extends BaseFilter {
    /** Takes the events of one connection. */
    public interface Listener {
        /** The socket is about to be read, whether or not it holds anything; on the network thread. */
        default void readBegins() {}

        /** Takes bytes that were read, and owns the buffer; on the network thread. */
        void read(ByteBuffer bytes);

        /** The connection was closed, by either side; once, on any thread. */
        void closed();
    }

    private final Attribute<Listener> listeners =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("listener." + System.identityHashCode(this));
    private final Function<Connection<?>, Listener> onAccept;

    /**
     * For connections that are accepted.
     *
     * @param onAccept makes the listener of each; null for a connection that it has closed
     */
    public MessageFilter(Function<Connection<?>, Listener> onAccept) {
        this.onAccept = onAccept;
    }

    /** For connections that are made from here; {@link #listen} is called for each. */
    public MessageFilter() {
        this(null);
    }

    /** Sets the listener of a connection. Where that is closed already, {@link Listener#closed} runs at once. */
    public void listen(Connection<?> connection, Listener listener) {
        listeners.set(connection, listener);
        connection.addCloseListener((Closeable closed, ICloseType by) -> listener.closed());
    }

    /** The listener of a connection; null where it has none yet. */
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
