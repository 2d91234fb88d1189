package mintstair.wire;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The first filter of a chain: notifies the listener of a connection that its socket is about to be read. */
public final class ReadBeginFilter extends BaseFilter {
    private final MessageFilter messages;

    /** Notifies the listeners of this filter, which stands later in the chain. */
    public ReadBeginFilter(MessageFilter messages) {
        this.messages = messages;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        MessageFilter.Listener listener = messages.listener(context.getConnection());
        if (listener != null) {
            listener.readBegins();
        }
        return context.getInvokeAction();
    }
}
