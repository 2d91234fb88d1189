package mintstair.discovery;

import java.io.IOException;
import mintstair.config.EndpointListReader;
import mintstair.config.Json;
import mintstair.request.EndpointList;

/** Reads the bodies of discovery's responses. */
final class EndpointListParser {
    private EndpointListParser() {}

    /** Reads a snapshot or a delta. */
    static EndpointList parse(byte[] body) throws MalformedEndpointListException {
        try {
            return EndpointListReader.read(Json.read(body));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedEndpointListException(e);
        }
    }

    /** Whether the body is a complete JSON text, whatever is in it. */
    static boolean isCompleteJson(byte[] body) {
        try {
            Json.read(body);
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }
}
