package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import mintstair.request.EndpointList;

/**
 * The configuration of one proxy, which the platform writes. Immutable.
 *
 * @param name the proxy's name
 * @param listen where the PostgreSQL front accepts clients
 * @param discovery the service that has the endpoint lists
 * @param control where control commands are accepted; null where they are not
 * @param seed the seed of all random choices
 * @param maxDescriptors how many file descriptors the process may have
 * @param initialEndpoints the endpoints known before the first list arrives; null for none
 * @param settings what the platform may change while the proxy runs
 * @param json the file's object
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress control,
        long seed,
        int maxDescriptors,
        EndpointList initialEndpoints,
        InstanceSettings settings,
        Map<?, ?> json) {
    /** The key of the endpoints known before the first list arrives. */
    static final String INITIAL_ENDPOINTS = "known";

    private static final String SETTINGS = "settings";
    /** The variable that has the control address where the file has none. */
    private static final String CONTROL_VARIABLE = "NODE_CONTROL";

    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int HEXADECIMAL = 16;

    /**
     * Reads a file.
     *
     * @throws ConfigException where it cannot be used
     */
    public static NodeConfig read(Path file) {
        try {
            return of(Json.read(Files.readAllBytes(file)));
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw ConfigException.inFile(file, e);
        }
    }

    /**
     * Reads the file anew for a proxy that runs: it needs all that {@code before} had but the known endpoints.
     *
     * @throws ConfigException where it cannot be used
     */
    public static NodeConfig reload(Path file, NodeConfig before) {
        NodeConfig changed = read(file);
        try {
            SettingsValidator.requireComplete(before.json, changed.json);
            return changed;
        } catch (ConfigException e) {
            throw ConfigException.inFile(file, e);
        }
    }

    /**
     * This configuration with other settings, which need all that the present ones have.
     *
     * @param text the object {@code settings}
     * @param place where the text is from, for the message of an error
     * @throws ConfigException where they cannot be used
     */
    public NodeConfig withSettings(byte[] text, String place) {
        try {
            Map<Object, Object> changedJson = new LinkedHashMap<>(json);
            changedJson.put(SETTINGS, Json.read(text));
            NodeConfig changed = of(changedJson);
            SettingsValidator.requireComplete(json, changed.json);
            return changed;
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw ConfigException.inPlace(place, e);
        }
    }

    private static NodeConfig of(Object json) {
        if (!(json instanceof Map<?, ?> map)) {
            throw new ConfigException("not an object");
        }
        JsonObject root = JsonObject.root(map);
        if (!(root.get(SETTINGS) instanceof Map<?, ?> settings)) {
            throw root.error(SETTINGS, "settings are missing");
        }
        EndpointList initialEndpoints =
                root.has(INITIAL_ENDPOINTS) ? EndpointListReader.read(root.get(INITIAL_ENDPOINTS)) : null;
        int maxDescriptors = (int) root.object("limits").number("sockets", DEFAULT_DESCRIPTORS);
        String name = root.text("name");
        InetSocketAddress listen = parseAddress(root.text("listen"));
        InetSocketAddress discovery = parseAddress(root.text("discovery"));
        InetSocketAddress control = control(root);
        long seed = seed(root.get("seed"));
        SettingsValidator.requireUsable(root.object(SETTINGS));
        return new NodeConfig(
                name,
                listen,
                discovery,
                control,
                seed,
                maxDescriptors,
                initialEndpoints,
                new InstanceSettings(settings),
                map);
    }

    /** The control address, from the file or the environment; null where neither has one. */
    private static InetSocketAddress control(JsonObject root) {
        String text = root.text("control", System.getenv(CONTROL_VARIABLE));
        return text == null || text.isEmpty() ? null : parseAddress(text);
    }

    /** The platform writes seeds as hexadecimal text, as not all of their bits fit in a JSON number. */
    private static long seed(Object value) {
        if (value instanceof String text) {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        }
        return value instanceof Number number ? number.longValue() : 0;
    }

    /**
     * Parses an address and port, as in {@code 127.0.0.1:5433}.
     *
     * @throws ConfigException where the text is none
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new ConfigException("no address and port: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("no address and port: " + text, e);
        }
    }
}
