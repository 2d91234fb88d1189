package mintstair.registry;

import mintstair.registry.view.RegistryCall;

/**
 * The connection to a registry's servers: carries out the calls of a view and reports their events, {@link
 * mintstair.registry.view.RegistryEvent}s, to a listener. Used on one thread only, on which the listener is called too;
 * no method blocks.
 */
public interface RegistryTransport extends AutoCloseable {
    /** Begins to carry out a call. */
    void execute(RegistryCall call);

    /** Ends the call in progress, without an event, and closes its connection. */
    @Override
    void close();
}
