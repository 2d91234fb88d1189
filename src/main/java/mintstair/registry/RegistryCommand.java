package mintstair.registry;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mintstair.config.ConfigException;
import mintstair.config.EndpointListReader;
import mintstair.config.Json;
import mintstair.config.RegistryConfig;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryKeys;
import mintstair.request.EndpointList;

/**
 * The command line for the registry. Entries are changed by compare-and-set against what was read just before: a change
 * by another client in between is reported, and nothing is changed.
 */
public final class RegistryCommand {
    static final int STATUS_OK = 0;
    /** Nothing was changed, or the registry could not be reached. */
    static final int STATUS_FAILED = 1;

    private static final String USAGE = "registry: show | watch | put-host [--front FRONT] [--if-revision N] JSON"
            + " | drain [--front FRONT] UID | delete [--front FRONT] UID";
    private static final Map<String, Integer> OPERAND_COUNTS =
            Map.of("show", 0, "watch", 0, "put-host", 1, "drain", 1, "delete", 1);
    private static final String STATE = "state";
    private static final String DRAINING = "DRAINING";
    /** The revision that compare-and-set takes for an entry that does not exist. */
    private static final long NO_ENTRY = 0;

    private static final String ANY_REVISION = "-1";

    private final RegistryConfig config;
    private final RegistryKeys keys;
    private final PrintStream out;

    /** Commands print their results to {@code out}. */
    public RegistryCommand(RegistryConfig config, PrintStream out) {
        this.config = config;
        this.out = out;
        keys = new RegistryKeys(config.prefix(), config.fronts());
    }

    /**
     * Runs one command.
     *
     * @return the exit status
     * @throws ConfigException where the command or its arguments are not valid
     * @throws RegistryException where the registry cannot be reached or rejects the call
     */
    public int run(String command, List<String> arguments) throws IOException {
        List<String> operands = new ArrayList<>(arguments);
        String front = removeOption(operands, "--front", config.fronts().get(0));
        long expectedRevision = parseRevision(removeOption(operands, "--if-revision", ANY_REVISION));
        if (!config.fronts().contains(front)) {
            throw new ConfigException("the registry lists no hosts of " + front);
        }
        if (operands.size() != OPERAND_COUNTS.getOrDefault(command, -1)) {
            throw new ConfigException(USAGE);
        }
        return switch (command) {
            case "show" -> new RegistryReport(config, out).print();
            case "watch" -> new RegistryChangePrinter(withoutSnapshot(config, config.endpoints()), out).run();
            case "put-host" -> put(front, operands.get(0), expectedRevision);
            case "drain" -> drain(front, operands.get(0));
            case "delete" -> delete(front, operands.get(0));
            default -> throw new ConfigException(USAGE);
        };
    }

    private static String removeOption(List<String> words, String name, String defaultValue) {
        int at = words.indexOf(name);
        if (at < 0 || at + 1 >= words.size()) {
            return defaultValue;
        }
        words.remove(at);
        return words.remove(at);
    }

    private static long parseRevision(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new ConfigException("no revision: " + text);
        }
    }

    private int put(String front, String json, long expectedRevision) throws IOException {
        byte[] value = json.getBytes(StandardCharsets.UTF_8);
        String uid = parseHost(value).host();
        String key = keys.hostKey(front, uid);
        try (RegistryEditor editor = RegistryClient.editor(config)) {
            RegistryEntry existing = editor.get(key);
            long revision = existing == null ? NO_ENTRY : existing.modRevision();
            if (expectedRevision >= 0 && revision != expectedRevision) {
                return reportUnchanged(uid + " is at revision " + revision + ", not " + expectedRevision);
            }
            boolean changed = editor.put(key, value, revision);
            return report(changed, uid + (existing == null ? " is added" : " is changed"));
        }
    }

    private int drain(String front, String uid) throws IOException {
        try (RegistryEditor editor = RegistryClient.editor(config)) {
            RegistryEntry existing = getHost(editor, front, uid);
            Map<String, Object> host = new TreeMap<>();
            ((Map<?, ?>) Json.read(existing.value())).forEach((field, value) -> host.put(field.toString(), value));
            if (DRAINING.equals(host.put(STATE, DRAINING))) {
                out.println(uid + " drains already");
                return STATUS_OK;
            }
            byte[] value = Json.write(host).getBytes(StandardCharsets.UTF_8);
            return report(editor.put(existing.key(), value, existing.modRevision()), uid + " drains");
        }
    }

    private int delete(String front, String uid) throws IOException {
        try (RegistryEditor editor = RegistryClient.editor(config)) {
            RegistryEntry existing = getHost(editor, front, uid);
            return report(editor.delete(existing.key(), existing.modRevision()), uid + " is deleted");
        }
    }

    private RegistryEntry getHost(RegistryEditor editor, String front, String uid) throws IOException {
        RegistryEntry entry = editor.get(keys.hostKey(front, uid));
        if (entry == null) {
            throw new ConfigException("no host " + uid);
        }
        parseHost(entry.value());
        return entry;
    }

    private static EndpointList.Entry parseHost(byte[] value) throws IOException {
        if (Json.read(value) instanceof Map<?, ?> fields) {
            return EndpointListReader.readEntry(fields);
        }
        throw new ConfigException("a host must be an object");
    }

    private int report(boolean changed, String outcome) {
        if (!changed) {
            return reportUnchanged("the entry was changed by another meanwhile");
        }
        out.println(outcome);
        return STATUS_OK;
    }

    private static int reportUnchanged(String reason) {
        System.err.println("mintstair: nothing was changed: " + reason);
        return STATUS_FAILED;
    }

    /** The same registry by these servers, without a snapshot: the file is the running proxy's. */
    static RegistryConfig withoutSnapshot(RegistryConfig config, List<InetSocketAddress> servers) {
        return new RegistryConfig(
                config.kind(),
                servers,
                config.prefix(),
                config.fronts(),
                config.user(),
                config.secret(),
                config.tls(),
                null,
                config.snapshotEveryMicros());
    }
}
