package mintstair.discovery;

/**
 * A complete HTTP response of discovery.
 *
 * @param endsConnection whether the body ended with the connection, so that no further call can be made on it
 */
record DiscoveryResponse(int status, byte[] body, boolean endsConnection) {}
