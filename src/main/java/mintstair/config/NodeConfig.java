package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mintstair.request.EndpointList;

/** What one proxy is told at its start. */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress control,
        long seed,
        int sockets,
        EndpointList known,
        InstanceSettings env,
        Map<?, ?> json) {

    /** Reads the file; throws {@link ConfigException} with one plain line where it cannot be used. */
    public static NodeConfig read(Path file) {
        try {
            return of(Json.read(Files.readAllBytes(file)));
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw unusable(file, e);
        }
    }

    private static NodeConfig of(Object json) {
        if (!(json instanceof Map<?, ?> map)) {
            throw new ConfigException("not an object");
        }
        if (!(map.get("settings") instanceof Map<?, ?> settings)) {
            throw new ConfigException("settings are missing");
        }
        EndpointList known = map.get("known") == null ? null : ListReader.read(map.get("known"));
        int sockets = map.get("limits") instanceof Map<?, ?> limits && limits.get("sockets") instanceof Number n
                ? n.intValue()
                : 1024;
        return new NodeConfig(
                text(map, "name"),
                address(text(map, "listen")),
                address(text(map, "discovery")),
                control(map.get("control")),
                seed(map.get("seed")),
                sockets,
                known,
                new InstanceSettings(checked(settings)),
                map);
    }

    /**
     * This configuration with other settings, which must be as whole as those of a file read anew; throws
     * {@link ConfigException} with one plain line that begins with {@code place}.
     */
    public NodeConfig withSettings(byte[] settings, String place) {
        try {
            Map<Object, Object> changed = new LinkedHashMap<>(json);
            changed.put("settings", Json.read(settings));
            NodeConfig read = of(changed);
            asWholeAs(this, read);
            return read;
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw new ConfigException(
                    place + ": " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }

    /**
     * Reads the file anew for a proxy that runs: it must be whole, with all that the file before had but the list as last
     * known, or it cannot be used.
     */
    public static NodeConfig readAnew(Path file, NodeConfig before) {
        NodeConfig read = read(file);
        try {
            asWholeAs(before, read);
            return read;
        } catch (ConfigException e) {
            throw unusable(file, e);
        }
    }

    private static void asWholeAs(NodeConfig before, NodeConfig read) {
        missing(before.json, read.json, "");
        List<?> old = classes((Map<?, ?>) before.json.get("settings"));
        for (Object each : classes((Map<?, ?>) read.json.get("settings"))) {
            for (Object key : ((Map<?, ?>) old.get(0)).keySet()) {
                // What not all classes have, none needs.
                boolean needed = old.stream().allMatch(o -> ((Map<?, ?>) o).containsKey(key));
                if (needed && !((Map<?, ?>) each).containsKey(key)) {
                    throw new ConfigException("a class without " + key);
                }
            }
        }
    }

    private static void missing(Map<?, ?> before, Map<?, ?> now, String path) {
        before.forEach((key, value) -> {
            if (!now.containsKey(key) && !key.equals("known")) {
                throw new ConfigException(path + key + " is missing");
            }
            if (value instanceof Map<?, ?> inner && !key.equals("known")) {
                if (!(now.get(key) instanceof Map<?, ?> other)) {
                    throw new ConfigException(path + key + " is not an object");
                }
                missing(inner, other, path + key + ".");
            }
        });
    }

    /** Settings that no request could be served by are no settings. */
    private static Map<?, ?> checked(Map<?, ?> settings) {
        List<?> classes = classes(settings);
        for (Object each : classes) {
            if (!(each instanceof Map<?, ?> c)) {
                throw new ConfigException("a class must be an object");
            }
            text(c, "name");
            above0("deadlineS", c.get("deadlineS"));
        }
        Map<?, ?> limits = settings.get("limits") instanceof Map<?, ?> m ? m : Map.of();
        above0("maxAttempts", limits.get("maxAttempts"));
        Object needs = settings.get("familyInfo") instanceof Map<?, ?> info ? info.get("consistency") : null;
        if (!(needs instanceof List<?> l) || l.size() != classes.size()) {
            throw new ConfigException("familyInfo.consistency must say what each class needs");
        }
        return settings;
    }

    private static List<?> classes(Map<?, ?> settings) {
        if (settings.get("classes") instanceof List<?> classes && !classes.isEmpty()) {
            return classes;
        }
        throw new ConfigException("classes are missing");
    }

    private static void above0(String key, Object value) {
        if (!(value instanceof Number n) || !(n.doubleValue() > 0) || Double.isInfinite(n.doubleValue())) {
            throw new ConfigException(key + " must be a number above 0");
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
