package mintstair.registry.view;

import java.io.IOException;
import java.util.Map;
import mintstair.config.EndpointListReader;
import mintstair.config.Json;
import mintstair.request.EndpointList;

/** Reads and validates the hosts in the registry's entries. */
final class HostEntryParser {
    private final RegistryKeys keys;
    private final ViewLimits limits;

    HostEntryParser(RegistryKeys keys, ViewLimits limits) {
        this.keys = keys;
        this.limits = limits;
    }

    /** Reads the entry as a host of this front. */
    EndpointList.Entry parse(RegistryEntry entry, String front) throws InvalidEntryException {
        if (entry.key().length() > limits.maxKeyBytes() || entry.value().length > limits.maxValueBytes()) {
            throw new InvalidEntryException("too long");
        }
        EndpointList.Entry host = read(entry.value());
        if (!host.host().equals(keys.uidOf(entry.key(), front))) {
            throw new InvalidEntryException("its uid is " + host.host());
        }
        if (host.state() == EndpointList.State.REMOVED) {
            throw new InvalidEntryException("a host is deleted by deleting its key");
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
        throw new InvalidEntryException("not an object");
    }
}
