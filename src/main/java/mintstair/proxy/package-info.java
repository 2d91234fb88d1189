/**
 * The protocol-independent core of the proxy: it accepts requests from the fronts, has the router decide on them, sends
 * attempts to the hosts through a {@link mintstair.proxy.Backend}, and returns the responses.
 *
 * <p>{@link mintstair.proxy.Dispatcher} is the entry point. Except for {@link mintstair.proxy.EventLoop}, whose methods
 * may be called on any thread, everything in this package runs on the event loop and needs no locks.
 */
package mintstair.proxy;
