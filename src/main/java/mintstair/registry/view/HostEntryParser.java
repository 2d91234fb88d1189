package mintstair.registry.view;

import java.io.IOException;
import java.util.Map;
import mintstair.config.EndpointListReader;
import mintstair.config.Json;
import mintstair.request.EndpointList;

/** Parses and validates the hosts that the registry's entries describe. */
final class HostEntryParser {
    private final RegistryKeys keys;
    private final ViewLimits limits;

    HostEntryParser(RegistryKeys keys, ViewLimits limits) {
        this.keys = keys;
        this.limits = limits;
    }

    /**
     * Parses the entry as a host of this front.
     *
     * @throws InvalidEntryException if the entry is too long, is no host, or describes another host than its key
     */
    EndpointList.Entry parse(RegistryEntry entry, String front) throws InvalidEntryException {
        if (entry.key().length() > limits.maxKeyBytes() || entry.value().length > limits.maxValueBytes()) {
            throw new InvalidEntryException("key of " + entry.key().length() + " bytes and value of "
                    + entry.value().length + " bytes; the limits are " + limits.maxKeyBytes() + " and "
                    + limits.maxValueBytes());
        }
        EndpointList.Entry host = read(entry.value());
        if (!host.host().equals(keys.uidOf(entry.key(), front))) {
            throw new InvalidEntryException("uid " + host.host() + " in the value differs from the uid in the key");
        }
        if (host.state() == EndpointList.State.REMOVED) {
            throw new InvalidEntryException("state of a deleted host; a host is deleted by deleting its key");
        }
        return host;
    }

    private static EndpointList.Entry read(byte[] value) throws InvalidEntryException {
        try {
            if (Json.read(value) instanceof Map<?, ?> fields) {
                return EndpointListReader.readEntry(fields);
            }
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidEntryException(e);
        }
        throw new InvalidEntryException("the value is not a JSON object");
    }
}
