/**
 * The running proxy: start-up, service, reload and graceful shutdown.
 *
 * <ul>
 *   <li>{@link mintstair.serve.ProxyStartup} creates the parts and starts them in a fixed order;
 *   <li>{@link mintstair.serve.Proxy} holds the running parts: one {@link mintstair.serve.ProtocolService} for each
 *       wire protocol, the registry, the traffic recording, and the {@link mintstair.serve.ConfigurationReloader};
 *   <li>{@link mintstair.serve.GracefulShutdown} is the shutdown hook: it drains in-flight requests on SIGTERM;
 *   <li>{@link mintstair.serve.ConfigurationCheck} is the {@code check} command, which starts a proxy on loopback
 *       ports.
 * </ul>
 *
 * <p>Threads: start-up runs on the main thread, shutdown on the hook's thread, reloads on the signal thread or the
 * registry's thread. Routers, pools, fronts and counters are confined to the event loop; other threads access them only
 * through {@code EventLoop.execute}.
 */
package mintstair.serve;
