/**
 * The client side of the proxy: listeners, client connections and the rules that every request must satisfy.
 *
 * <p>{@link mintstair.front.Front} owns the listener of one protocol and evicts clients when connections run short;
 * {@link mintstair.front.ClientSession} is one connection, whose life is described by {@code SessionState}. Its parts
 * are a read side ({@code SessionInput}), a queue of commands ({@code CommandQueue}) and a write side
 * ({@code ResponseWriter}). The protocols are in the packages below this one.
 *
 * <p>Everything runs on the {@link mintstair.proxy.EventLoop} unless a method says that it runs on the network
 * thread, which is the one thread of Grizzly's selector.
 */
package mintstair.front;
