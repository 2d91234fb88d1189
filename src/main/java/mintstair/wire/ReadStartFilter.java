package mintstair.wire;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The first filter of a chain, which notifies the listener of a connection before its socket is read. */
public final class ReadStartFilter extends BaseFilter {
    private final MessageFilter messages;

    /** Creates a filter that notifies the listeners of {@code messages}, a later filter in the same chain. */
    public ReadStartFilter(MessageFilter messages) {
        this.messages = messages;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        MessageFilter.Listener listener = messages.listener(context.getConnection());
        if (listener != null) {
            listener.readStarting();
        }
        return context.getInvokeAction();
    }
}
