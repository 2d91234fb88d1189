/**
 * The core of the proxy, which knows no protocol: it accepts requests from fronts, has the router decide on them, sends
 * attempts to a {@link mintstair.proxy.Backend}, and returns the answers.
 *
 * <p>{@link mintstair.proxy.Dispatcher} is the entry point. Everything here, but for a few methods of
 * {@link mintstair.proxy.EventLoop}, runs on the event loop and needs no locks.
 */
package mintstair.proxy;
