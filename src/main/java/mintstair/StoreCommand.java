package mintstair;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import mintstair.config.ConfigException;
import mintstair.config.OperatorConfig;
import mintstair.store.Store;

/** The command {@code store}: reads or writes one entry of the replicated store, as a client of its members. */
final class StoreCommand {
    /** The argument for a value on standard input, because the system limits the length of an argument. */
    private static final String STANDARD_INPUT = "-";

    private StoreCommand() {}

    /**
     * Runs the command.
     *
     * @param options the operator's file, {@code get} or {@code put}, the key, and for {@code put} the value
     */
    static void run(List<String> options) throws IOException {
        Main.requireUsage(options.size() >= 3);
        String operatorFile = options.get(0);
        OperatorConfig.StoreConfig config =
                OperatorConfig.read(Path.of(operatorFile)).store();
        if (config == null) {
            throw new ConfigException(operatorFile + ": no store is configured");
        }
        String action = options.get(1);
        String key = options.get(2);
        try (Store store = Store.createClient(config.members())) {
            if (action.equals("get") && options.size() == 3) {
                get(store, key);
            } else if (action.equals("put") && options.size() == 4) {
                store.put(key, value(options.get(3)));
            } else {
                throw new ConfigException(Main.USAGE);
            }
        }
    }

    private static void get(Store store, String key) throws IOException {
        String value = store.get(key);
        if (value == null) {
            throw new ConfigException("no entry " + key);
        }
        System.out.println(value);
    }

    private static String value(String argument) throws IOException {
        if (!argument.equals(STANDARD_INPUT)) {
            return argument;
        }
        return new String(System.in.readAllBytes(), StandardCharsets.UTF_8).strip();
    }
}
