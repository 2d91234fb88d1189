/**
 * The client side of the proxy: listeners, client connections and the rules that every request must satisfy.
 *
 * <p>{@link mintstair.front.Front} owns the listener of one protocol and evicts idle clients when connections run
 * short; {@link mintstair.front.ClientSession} is one connection, whose life cycle is defined by {@code SessionState}.
 * A session consists of a read side ({@code SessionInput}), a queue of commands ({@code CommandQueue}) and a write side
 * ({@code ResponseWriter}). The protocols are implemented in the subpackages.
 *
 * <p>All code runs on the {@link mintstair.proxy.EventLoop} unless a method is documented to run on the network
 * thread, which is the single thread of Grizzly's selector.
 */
package mintstair.front;
