/**
 * The client of discovery, the HTTP service that publishes the endpoint list. {@link mintstair.discovery.EndpointWatch}
 * keeps the list current and supervises its streams, {@code WatchStream} is one connection with its request in flight,
 * {@code WatchTransport} is HTTP over Grizzly, and {@code EndpointListParser} reads response bodies. When requests are
 * sent and how long they may take is decided in {@link mintstair.discovery.pace}.
 */
package mintstair.discovery;
