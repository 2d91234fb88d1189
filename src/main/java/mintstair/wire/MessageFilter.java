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

/** The filter between bytes and messages: hands each connection's reads to its listener. */
public final class MessageFilter extends BaseFilter {
    /** One end of a connection; called on the network thread, the end on any. */
    public interface Listener {
        void read(ByteBuffer bytes);

        void closed();
    }

    private final Attribute<Listener> listeners =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("listener." + System.identityHashCode(this));
    private final Function<Connection<?>, Listener> accepted;

    /** For connections that come in; {@code accepted} makes the listener of each, null for one that is not let in. */
    public MessageFilter(Function<Connection<?>, Listener> accepted) {
        this.accepted = accepted;
    }

    /** For connections that go out. */
    public MessageFilter() {
        this(null);
    }

    /** A connection that was closed meanwhile, by either side, is told closed here and now. */
    public void listen(Connection<?> connection, Listener listener) {
        listeners.set(connection, listener);
        connection.addCloseListener((Closeable closed, ICloseType by) -> listener.closed());
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        Listener listener = accepted.apply(ctx.getConnection());
        if (listener != null) {
            listen(ctx.getConnection(), listener);
        }
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Buffer buffer = ctx.getMessage();
        Listener listener = listeners.get(ctx.getConnection());
        if (listener != null) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            listener.read(ByteBuffer.wrap(bytes));
        }
        buffer.tryDispose();
        return ctx.getStopAction();
    }
}
