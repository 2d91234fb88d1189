package mintstair.registry;

import mintstair.registry.view.RegistryCall;

/**
 * The connection to a registry's servers. Makes the calls that a view requests and reports their outcome to a listener
 * as {@link mintstair.registry.view.RegistryEvent}s. Must be used on one thread only, which is also the thread on which
 * the listener is called; no method blocks.
 */
public interface RegistryTransport extends AutoCloseable {
    /** Starts a call; its outcome is reported to the listener later. */
    void execute(RegistryCall call);

    /** Cancels the call in progress without reporting an event, and closes its connection. */
    @Override
    void close();
}
