package mintstair.discovery;

import java.io.IOException;
import mintstair.config.EndpointListReader;
import mintstair.config.Json;
import mintstair.request.EndpointList;

/** Parses the bodies of the discovery service's responses. */
final class EndpointListParser {
    private EndpointListParser() {}

    /**
     * Parses a snapshot or a delta.
     *
     * @throws MalformedEndpointListException if the body is not JSON or not an endpoint list
     */
    static EndpointList parse(byte[] body) throws MalformedEndpointListException {
        try {
            return EndpointListReader.read(Json.read(body));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedEndpointListException(e);
        }
    }

    /** Returns whether the body is a complete JSON text, whatever its content. */
    static boolean isCompleteJson(byte[] body) {
        try {
            Json.read(body);
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }
}
