package mintstair.pins;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.Snapshot;
import mintstair.traffic.RecordedExchange;

/** What the stored files of the version before hold, and where they are. */
final class StoredData {
    /** The folder of the test resources. */
    static final String FOLDER = "stored";
    /** A member with a snapshot and a log that goes on from it. */
    static final String STORE = "store-n1";
    /** One that has a log alone. */
    static final String YOUNG_STORE = "store-young";

    static final String REGISTRY = "registry.snapshot";
    static final String ROTATED = "traffic";
    static final String DIGESTED = "traffic-digested";
    static final String SINGLE = "clients.pcap";
    static final String EXCHANGES = "exchanges.json";

    /** Ports that clients connected to. */
    static final int POSTGRESQL_PORT = 5433;

    static final int MONGODB_PORT = 27017;

    static final String MEMBER = "n1";
    static final String HOSTS_KEY = "config/mongodb/hosts";
    static final String HOSTS =
            "{\"rev\":7,\"all\":true,\"targets\":[{\"uid\":\"mdb-1\",\"endpoint\":\"127.0.0.1:7001\",\"az\":\"a\","
                    + "\"pod_group\":1,\"state\":\"SERVING\",\"rank\":\"source\"}]}";
    static final String STATE_KEY = "state/n1";
    private static final int KEYS = 16;
    /** So many rounds over all keys are more changes than the store keeps in its log before it takes a snapshot. */
    static final int ROUNDS = 64;

    static final String PREFIX = "mintstair/";
    static final long CLUSTER = 0xfedcba9876543210L;
    static final long REVISION = 4_294_967_299L;
    static final long TERM = 12;
    static final long HEARD = 1_796_168_000_123_456L;

    private StoredData() {}

    /** The store's key of this number, and its value after a round. */
    static Map<String, String> round(int round) {
        Map<String, String> values = new LinkedHashMap<>();
        for (int key = 0; key < KEYS; key++) {
            values.put("config/key-" + key, "round " + round + " of key " + key);
        }
        return values;
    }

    /** All that the store holds after the last change. */
    static Map<String, String> entries() {
        Map<String, String> entries = round(ROUNDS);
        entries.put(HOSTS_KEY, HOSTS);
        entries.put(STATE_KEY, "taken=7 served=7");
        entries.put("config/words", "Grüße, 你好, a=b; \"quoted\"\n second line ");
        entries.put("config/empty", "");
        return entries;
    }

    static Snapshot registry() {
        List<RegistryEntry> items = new ArrayList<>();
        for (int host = 0; host < 3; host++) {
            String value = "{\"uid\":\"p" + host + "\",\"endpoint\":\"127.0.0.1:" + (6001 + host)
                    + "\",\"az\":\"a\",\"pod_group\":1," + "\"state\":\"SERVING\",\"rank\":\""
                    + (host == 0 ? "source" : "copy") + "\"}";
            items.add(new RegistryEntry(
                    PREFIX + "postgresql/hosts/p" + host,
                    value.getBytes(StandardCharsets.UTF_8),
                    2 + host,
                    REVISION - host));
        }
        items.add(new RegistryEntry(
                PREFIX + "postgresql/hosts/\u00e9\u00ff", new byte[] {0, -1, 10, 13, 127, -128}, 9, 10));
        items.add(new RegistryEntry(PREFIX + "settings", new byte[0], 11, 12));
        return new Snapshot(PREFIX, CLUSTER, REVISION, TERM, HEARD, items);
    }

    /** What is known of an exchange but its digest and message, one line each. */
    static String line(RecordedExchange exchange) {
        return String.join(
                " ",
                exchange.connection() + "",
                exchange.requestNanos() + "",
                exchange.responseNanos() + "",
                exchange.id(),
                exchange.requestClass(),
                exchange.replicaSet() + "",
                exchange.session() + "",
                exchange.write() + "",
                exchange.retry() + "",
                exchange.timeoutMillis() + "",
                exchange.minimumPositionMillis() + "",
                exchange.result().name().toLowerCase(Locale.ROOT),
                exchange.retryAfterMillis() + "");
    }

    static Map<String, InetSocketAddress> freeMember() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return Map.of(MEMBER, new InetSocketAddress("127.0.0.1", free.getLocalPort()));
        }
    }

    /** A copy of a stored file or folder that a test may change; returns its place. */
    static Path copy(String name, Path to) throws IOException {
        URL stored = StoredData.class.getResource("/" + FOLDER + "/" + name);
        assertNotNull(stored, "no stored " + name);
        try {
            Path from = Path.of(stored.toURI());
            Path place = to.resolve(name);
            for (Path each : tree(from)) {
                Path target = place.resolve(from.relativize(each).toString());
                if (Files.isDirectory(each)) {
                    Files.createDirectories(target);
                    if (each.endsWith("current")) {
                        // A member always has the folder of its snapshots; an empty one can't be kept as a resource.
                        Files.createDirectories(target.resolveSibling("sm"));
                    }
                } else {
                    Files.copy(each, target);
                }
            }
            return place;
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
    }

    /** All files and folders under this one, each after the folder that holds it. */
    static List<Path> tree(Path top) throws IOException {
        try (Stream<Path> all = Files.walk(top)) {
            return all.sorted().toList();
        }
    }

    /** The files under a folder whose names begin so, in the order of their names. */
    static List<Path> files(Path top, String beginning) throws IOException {
        return tree(top).stream()
                .filter(Files::isRegularFile)
                .filter(file -> file.getFileName().toString().startsWith(beginning))
                .toList();
    }
}
