/**
 * The database side of the proxy: a connection pool for each host, and the attempts that run on their connections.
 *
 * <p>{@link mintstair.backend.ConnectionPools} is the entry point; it has a {@code HostConnectionPool} for each host,
 * which acquires, releases and evicts {@code HostConnection}s. A {@code PendingAttempt} waits in the pool for a
 * connection and then holds it until its reply is complete. {@link mintstair.backend.Protocol} is what differs between
 * the protocols, which are in the packages below this one.
 *
 * <p>Everything runs on the {@link mintstair.proxy.EventLoop} unless a method says that it runs on the network
 * thread, which is the one thread of Grizzly's selector.
 */
package mintstair.backend;
