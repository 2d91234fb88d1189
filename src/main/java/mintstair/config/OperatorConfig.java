package mintstair.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import mintstair.request.EndpointList;

/**
 * The optional parts of a proxy, which an operator configures in a separate file. A part that the file does not contain
 * is disabled and null here. Immutable.
 *
 * @param mongodb the MongoDB front
 * @param record the recording of traffic
 * @param store this proxy's member of the replicated store
 * @param registry the registry that replaces the discovery service
 * @param membership the membership in a fleet
 */
public record OperatorConfig(
        MongodbFront mongodb,
        RecordingConfig record,
        StoreConfig store,
        RegistryConfig registry,
        MembershipConfig membership) {
    /** The configuration without an operator's file: all optional parts are disabled. */
    public static final OperatorConfig NONE = new OperatorConfig(null, null, null, null, null);

    private static final Set<String> PARTS = Set.of("mongodb", "record", "store", "registry", "membership");

    /**
     * The configuration of the MongoDB front.
     *
     * @param listen the address on which the front accepts clients
     * @param discovery the address of the discovery service for its hosts; null for none
     * @param hosts the endpoint list of its hosts; null for none
     */
    public record MongodbFront(InetSocketAddress listen, InetSocketAddress discovery, EndpointList hosts) {}

    /**
     * The recording of traffic, either into a single file or into rotated files.
     *
     * @param file the single file; null for rotated files
     * @param maxBytes the maximum size of the single file, in bytes; 0 for rotated files
     * @param rotated the rotated files; null for a single file
     */
    public record RecordingConfig(Path file, long maxBytes, RotatedFiles rotated) {
        private static final Set<String> KEYS =
                Set.of("folder", "file_bytes", "file_s", "total_bytes", "queue_bytes", "hosts", "share", "digests");
        private static final long DEFAULT_FILE_BYTES = 64 << 20;
        private static final long MIN_FILE_BYTES = 1 << 16;
        private static final long DEFAULT_FILE_SECONDS = 600;
        private static final long DEFAULT_FILES = 16;
        private static final long DEFAULT_QUEUE_BYTES = 8 << 20;
        private static final double MAX_NUMBER = 1e15;
        private static final double MICROS_PER_SECOND = 1e6;

        private static RecordingConfig read(JsonObject json) {
            if (!json.has("folder")) {
                Path file = Path.of(json.text("file"));
                return new RecordingConfig(file, (long) number(json, "most_bytes", DEFAULT_FILE_BYTES, 1), null);
            }
            json.requireKnownKeys(KEYS, "record: ");
            long fileBytes = (long) number(json, "file_bytes", DEFAULT_FILE_BYTES, MIN_FILE_BYTES);
            RotatedFiles rotated = new RotatedFiles(
                    Path.of(json.text("folder")),
                    fileBytes,
                    (long) (number(json, "file_s", DEFAULT_FILE_SECONDS, 1) * MICROS_PER_SECOND),
                    (long) number(json, "total_bytes", (double) (DEFAULT_FILES * fileBytes), (double) fileBytes),
                    (long) number(json, "queue_bytes", DEFAULT_QUEUE_BYTES, MIN_FILE_BYTES),
                    json.flag("hosts", false),
                    number(json, "share", 1, 0),
                    json.flag("digests", false));
            if (rotated.share() > 1) {
                throw json.error("share", "record: share must be between 0 and 1");
            }
            return new RecordingConfig(null, 0, rotated);
        }

        private static double number(JsonObject json, String key, double defaultValue, double min) {
            if (!json.has(key)) {
                return defaultValue;
            }
            double number = json.number(key, Double.NaN);
            if (!(number >= min) || number > MAX_NUMBER) {
                throw json.error(key, "record: " + key + " must be a number of at least " + (long) min);
            }
            return number;
        }
    }

    /**
     * The limits and contents of rotated recording files.
     *
     * @param folder the folder of the files
     * @param fileBytes the size at which the next file is started, in bytes
     * @param fileMicros the age at which the next file is started, in microseconds
     * @param totalBytes the maximum size of all files together, in bytes
     * @param queueBytes the maximum size of the records that wait to be written to disk, in bytes
     * @param hosts whether connections to database hosts are recorded as well
     * @param share the fraction of the connections that is recorded, from 0 to 1
     * @param digests whether values are replaced by digests
     */
    public record RotatedFiles(
            Path folder,
            long fileBytes,
            long fileMicros,
            long totalBytes,
            long queueBytes,
            boolean hosts,
            double share,
            boolean digests) {}

    /**
     * The configuration of the replicated store.
     *
     * @param member the name of this proxy's member
     * @param members the addresses of all members, by name
     * @param folder the folder of this proxy's member
     */
    public record StoreConfig(String member, Map<String, InetSocketAddress> members, Path folder) {
        private static StoreConfig read(JsonObject json) {
            if (!(json.get("members") instanceof Map<?, ?> listed)) {
                throw json.error("members", "store: members must be an object of addresses by name");
            }
            Map<String, InetSocketAddress> members = new LinkedHashMap<>();
            listed.forEach(
                    (name, address) -> members.put(name.toString(), NodeConfig.parseAddress(String.valueOf(address))));
            String member = json.text("member");
            if (!members.containsKey(member)) {
                throw json.error("member", "store: member " + member + " is not listed in members");
            }
            return new StoreConfig(member, members, Path.of(json.text("folder")));
        }
    }

    /**
     * Reads an operator's file.
     *
     * @throws ConfigException if the file is not usable
     */
    public static OperatorConfig read(Path file) {
        try {
            if (!(Json.read(Files.readAllBytes(file)) instanceof Map<?, ?> map)) {
                throw new ConfigException("not a JSON object");
            }
            return of(JsonObject.root(map));
        } catch (IOException | IllegalArgumentException | ConfigException e) {
            throw ConfigException.inFile(file, e);
        }
    }

    private static OperatorConfig of(JsonObject root) {
        requireKnownParts(root);
        RegistryConfig registry = root.has("registry") ? RegistryConfig.read(root.object("registry")) : null;
        boolean hostsInRegistry = registry != null && registry.fronts().contains(RegistryConfig.MONGODB);
        if (hostsInRegistry && !root.has("mongodb")) {
            throw root.error("mongodb", "registry lists hosts of mongodb, but mongodb is not configured");
        }
        MongodbFront mongodb = root.has("mongodb") ? mongodb(root.object("mongodb"), hostsInRegistry) : null;
        RecordingConfig record = root.has("record") ? RecordingConfig.read(root.object("record")) : null;
        StoreConfig store = root.has("store") ? StoreConfig.read(root.object("store")) : null;
        MembershipConfig membership = root.has("membership") ? MembershipConfig.read(root.object("membership")) : null;
        return new OperatorConfig(mongodb, record, store, registry, membership);
    }

    private static void requireKnownParts(JsonObject root) {
        for (Object key : root.values().keySet()) {
            if (!PARTS.contains(key) || !(root.values().get(key) instanceof Map<?, ?>)) {
                throw root.error(String.valueOf(key), "unknown setting " + key);
            }
        }
    }

    private static MongodbFront mongodb(JsonObject json, boolean hostsInRegistry) {
        String discoveryText = json.textOrNull("discovery");
        InetSocketAddress discovery = discoveryText == null ? null : NodeConfig.parseAddress(discoveryText);
        EndpointList hosts = json.has("hosts") ? EndpointListReader.read(json.get("hosts")) : null;
        if (discovery == null && hosts == null && !hostsInRegistry) {
            throw json.error("hosts", "mongodb requires hosts, discovery or a registry");
        }
        return new MongodbFront(NodeConfig.parseAddress(json.text("listen")), discovery, hosts);
    }
}
