/**
 * The database side of the proxy: a connection pool for each host, and the attempts that run on its connections.
 *
 * <p>{@link mintstair.backend.ConnectionPools} is the entry point. It has one {@code HostConnectionPool} for each host,
 * which opens, assigns and evicts {@code HostConnection}s. A {@code PendingAttempt} waits in the pool for a connection
 * and then holds it until its reply is complete. {@link mintstair.backend.Protocol} is implemented for each wire
 * protocol in a subpackage.
 *
 * <p>All code runs on the {@link mintstair.proxy.EventLoop}, except for methods documented to run on the network
 * thread, which is the single selector thread of Grizzly.
 */
package mintstair.backend;
