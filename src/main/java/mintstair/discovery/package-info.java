/**
 * The client of the discovery service, which publishes the endpoint list over HTTP.
 *
 * <p>A call is one HTTP request to the service, either for the snapshot of the list or a long poll for the next delta.
 * {@link mintstair.discovery.EndpointWatch} keeps the list current. It makes its calls on {@code WatchStream}s, each of
 * which is a connection with at most one call in flight. {@code WatchTransport} sends requests and receives responses
 * over Grizzly, and {@code EndpointListParser} parses response bodies. {@link mintstair.discovery.pace} decides when
 * calls are made and how long they may take.
 */
package mintstair.discovery;
