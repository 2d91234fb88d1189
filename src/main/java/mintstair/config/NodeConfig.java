package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import mintstair.request.EndpointList;

/**
 * The configuration of one proxy, as the platform writes it. Immutable.
 *
 * @param name the proxy's name
 * @param listen the address on which the PostgreSQL front accepts clients
 * @param discovery the address of the service that provides endpoint lists
 * @param control the address on which control commands are accepted; null if they are not
 * @param seed the seed of all random choices
 * @param maxDescriptors the number of file descriptors that the process may have open
 * @param initialEndpoints the endpoints known before the first list arrives; null for none
 * @param settings the settings that the platform may change while the proxy runs
 * @param json the root object of the file
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
    /** The key of the endpoint list that is used until the first list arrives. */
    static final String INITIAL_ENDPOINTS_KEY = "known";

    private static final String SETTINGS = "settings";
    /** The environment variable for the control address, used if the file has none. */
    private static final String CONTROL_VARIABLE = "NODE_CONTROL";

    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int HEXADECIMAL = 16;

    /**
     * Reads a configuration file.
     *
     * @throws ConfigException if the file is not usable
     */
    public static NodeConfig read(Path file) {
        try {
            return of(Json.read(Files.readAllBytes(file)));
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw ConfigException.inFile(file, e);
        }
    }

    /**
     * Reads the file again for a running proxy. It must have all keys of {@code before} except the initial endpoints.
     *
     * @throws ConfigException if the file is not usable
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
     * Returns this configuration with other settings, which must have all keys of the current ones.
     *
     * @param text the JSON object {@code settings}
     * @param source the origin of the text, named in error messages
     * @throws ConfigException if the settings are not usable
     */
    public NodeConfig withSettings(byte[] text, String source) {
        try {
            Map<Object, Object> changedJson = new LinkedHashMap<>(json);
            changedJson.put(SETTINGS, Json.read(text));
            NodeConfig changed = of(changedJson);
            SettingsValidator.requireComplete(json, changed.json);
            return changed;
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw ConfigException.inSource(source, e);
        }
    }

    private static NodeConfig of(Object json) {
        if (!(json instanceof Map<?, ?> map)) {
            throw new ConfigException("not a JSON object");
        }
        JsonObject root = JsonObject.root(map);
        if (!(root.get(SETTINGS) instanceof Map<?, ?> settings)) {
            throw root.error(SETTINGS, SETTINGS + " is missing or not an object");
        }
        EndpointList initialEndpoints =
                root.has(INITIAL_ENDPOINTS_KEY) ? EndpointListReader.read(root.get(INITIAL_ENDPOINTS_KEY)) : null;
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

    /** Returns the control address from the file or else from the environment; null if neither has one. */
    private static InetSocketAddress control(JsonObject root) {
        String text = root.text("control", System.getenv(CONTROL_VARIABLE));
        return text == null || text.isEmpty() ? null : parseAddress(text);
    }

    /** Reads the seed, which is hexadecimal text because a JSON number does not hold all 64 bits, or a plain number. */
    private static long seed(Object value) {
        if (value instanceof String text) {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        }
        return value instanceof Number number ? number.longValue() : 0;
    }

    /**
     * Parses an address and port, for example {@code 127.0.0.1:5433}.
     *
     * @throws ConfigException if the text is not an address and port
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new ConfigException("expected HOST:PORT, found " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("expected HOST:PORT, found " + text, e);
        }
    }
}
