package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import mintstair.discovery.ListReader;
import mintstair.request.HostList;

/** What one proxy is told at its start. */
public record NodeConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress control,
        long seed, int sockets, HostList known, Env env) {

    /** Reads the file; throws {@link ConfigException} with one plain line where it cannot be used. */
    public static NodeConfig read(Path file) {
        try {
            Object json = Json.read(Files.readAllBytes(file));
            if (!(json instanceof Map<?, ?> map)) {
                throw new ConfigException("not an object");
            }
            if (!(map.get("settings") instanceof Map<?, ?> settings)) {
                throw new ConfigException("settings are missing");
            }
            HostList known = map.get("known") == null ? null : ListReader.read(map.get("known"));
            int sockets = map.get("limits") instanceof Map<?, ?> limits
                && limits.get("sockets") instanceof Number n ? n.intValue() : 1024;
            return new NodeConfig(text(map, "name"), address(text(map, "listen")), address(text(map, "discovery")),
                control(map.get("control")), seed(map.get("seed")), sockets, known, new Env(settings));
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw unusable(file, e);
        }
    }

    /** One plain line on a file that cannot be used. */
    static ConfigException unusable(Path file, Exception why) {
        String text = why instanceof NoSuchFileException ? "no such file" : String.valueOf(why.getMessage());
        return new ConfigException(file + ": " + text.split("\n")[0]);
    }

    static String text(Map<?, ?> map, String key) {
        if (map.get(key) instanceof String s) {
            return s;
        }
        throw new ConfigException(key + " is missing");
    }

    /** The second address, in the file or the environment; null where there is none. */
    private static InetSocketAddress control(Object value) {
        String text = value instanceof String s ? s : System.getenv("NODE_CONTROL");
        return text == null || text.isEmpty() ? null : address(text);
    }

    private static long seed(Object value) {
        if (value instanceof String s) {
            return Long.parseUnsignedLong(s, 16);
        }
        return value instanceof Number n ? n.longValue() : 0;
    }

    /** An address and port, as in 127.0.0.1:5433. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new ConfigException("no address and port: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("no address and port: " + text);
        }
    }
}
