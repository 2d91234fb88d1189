package mintstair.registry;

import mintstair.registry.view.Event;
import mintstair.registry.view.Order;

/** How a registry is spoken to. Orders come from one thread; events go out from any. */
public interface RegistryWire extends AutoCloseable {
    /** Takes what the wire has to tell. */
    interface Events {
        /** {@code taken} is run once the event has been taken in: no more of this call is read before. */
        void tell(Event event, Runnable taken);

        /** An event after which nothing waits. */
        default void tell(Event event) {
            tell(event, () -> {});
        }
    }

    /** Begins to carry out an order; does not block. */
    void carryOut(Order order);

    @Override
    void close();
}
