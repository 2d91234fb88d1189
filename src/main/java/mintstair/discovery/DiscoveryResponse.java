package mintstair.discovery;

/**
 * A complete HTTP response of the discovery service.
 *
 * @param status the HTTP status code
 * @param body the body, empty if there is none
 * @param connectionClosed whether the end of the connection marked the end of the body, so that no further call can be
 *     made on the connection
 */
record DiscoveryResponse(int status, byte[] body, boolean connectionClosed) {}
