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
 * The command line for the registry. Each command that changes an entry reads it first and then writes by
 * compare-and-set: if another client has changed the entry in between, the command reports this and changes nothing.
 */
public final class RegistryCommand {
    static final int STATUS_OK = 0;
    /** Exit status if nothing was changed or the registry could not be reached. */
    static final int STATUS_FAILED = 1;

    private static final String USAGE = "registry: show | watch | put-host [--front FRONT] [--if-revision N] JSON"
            + " | drain [--front FRONT] UID | delete [--front FRONT] UID";
    private static final Map<String, Integer> OPERAND_COUNTS =
            Map.of("show", 0, "watch", 0, "put-host", 1, "drain", 1, "delete", 1);
    private static final String STATE = "state";
    private static final String DRAINING = "DRAINING";
    /** The expected revision of an entry that must not exist. */
    private static final long NO_ENTRY = 0;
    /** The default of {@code --if-revision}; a negative number accepts every revision. */
    private static final String ANY_REVISION = "-1";

    private final RegistryConfig config;
    private final RegistryKeys keys;
    private final PrintStream out;

    /** Creates the command line; results are printed to {@code out}, reasons for failure to standard error. */
    public RegistryCommand(RegistryConfig config, PrintStream out) {
        this.config = config;
        this.out = out;
        keys = new RegistryKeys(config.prefix(), config.fronts());
    }

    /**
     * Runs one command; {@code watch} runs until its thread is interrupted.
     *
     * @return the exit status
     * @throws ConfigException if the command or its arguments are not valid, or the host is not in the registry
     * @throws RegistryException if the registry cannot be reached or rejects the call
     */
    public int run(String command, List<String> arguments) throws IOException {
        List<String> operands = new ArrayList<>(arguments);
        String front = removeOption(operands, "--front", config.fronts().get(0));
        long expectedRevision = parseRevision(removeOption(operands, "--if-revision", ANY_REVISION));
        if (!config.fronts().contains(front)) {
            throw new ConfigException("front " + front + " is not one of the registry's fronts " + config.fronts());
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

    private static String removeOption(List<String> operands, String name, String defaultValue) {
        int index = operands.indexOf(name);
        if (index < 0 || index + 1 >= operands.size()) {
            return defaultValue;
        }
        operands.remove(index);
        return operands.remove(index);
    }

    private static long parseRevision(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new ConfigException("--if-revision must be a whole number, found " + text);
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
            throw new ConfigException("the registry has no host " + uid + " of the front " + front);
        }
        parseHost(entry.value());
        return entry;
    }

    private static EndpointList.Entry parseHost(byte[] value) throws IOException {
        if (Json.read(value) instanceof Map<?, ?> fields) {
            return EndpointListReader.readEntry(fields);
        }
        throw new ConfigException("a host must be a JSON object");
    }

    private int report(boolean changed, String outcome) {
        if (!changed) {
            return reportUnchanged("another client changed the entry after it was read");
        }
        out.println(outcome);
        return STATUS_OK;
    }

    private static int reportUnchanged(String reason) {
        System.err.println("mintstair: nothing was changed: " + reason);
        return STATUS_FAILED;
    }

    /** Returns a copy with these servers and no snapshot, because the snapshot file belongs to the running proxy. */
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
