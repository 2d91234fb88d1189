package mintstair;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import mintstair.adapter.Adapter;
import mintstair.config.ConfigException;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;
import mintstair.serve.Proxy;

/** The program's commands; what is wrong with its input ends it with one line and status 2. */
public final class Main {
    private static final String USAGE = "usage: java -jar mintstair.jar serve [--operator FILE] [FILE] | adapter";

    private Main() { }

    public static void main(String[] args) {
        try {
            if (args.length == 1 && args[0].equals("adapter")) {
                Adapter.run();
            } else if (args.length >= 1 && args[0].equals("serve")) {
                serve(Arrays.asList(args).subList(1, args.length));
            } else {
                throw new ConfigException(USAGE);
            }
        } catch (ConfigException | IllegalArgumentException | IOException e) {
            System.err.println("mintstair: " + String.valueOf(e.getMessage()).split("\n")[0]);
            System.exit(2);
        }
    }

    /** The configuration is the file named, or the platform's; the operator's file is named or there is none. */
    private static void serve(List<String> args) throws IOException {
        OperatorConfig operator = OperatorConfig.NONE;
        String file = System.getenv("NODE_CONFIG");
        for (int i = 0; i < args.size(); i++) {
            if (args.get(i).equals("--operator") && i + 1 < args.size()) {
                operator = OperatorConfig.read(Path.of(args.get(++i)));
            } else if (args.get(i).startsWith("-")) {
                throw new ConfigException(USAGE);
            } else {
                file = args.get(i);
            }
        }
        if (file == null) {
            throw new ConfigException("no configuration: name a file or set NODE_CONFIG");
        }
        new Proxy(NodeConfig.read(Path.of(file)), operator).start();
    }
}
