package mintstair;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.nio.file.Path;
import java.util.List;
import mintstair.adapter.Adapter;
import mintstair.config.ConfigException;
import mintstair.config.FirstLine;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;
import mintstair.config.RegistryConfig;
import mintstair.control.MembersCommand;
import mintstair.log.FatalErrors;
import mintstair.log.NonBlockingOutput;
import mintstair.registry.RegistryCommand;
import mintstair.serve.ConfigurationCheck;
import mintstair.serve.ProxyStartup;
import mintstair.serve.ReloadSignal;
import mintstair.traffic.TrafficCommand;

/** Runs the command named on the command line. Invalid input ends the program with a one-line error and status 2. */
public final class Main {
    static final String USAGE = "usage: java -jar mintstair.jar serve [--operator FILE] [FILE] | check FILE | adapter"
            + " | replay [--to HOST:PORT] [--port PORT] [--mongodb] FILE | store OPERATOR_FILE get KEY"
            + " | store OPERATOR_FILE put KEY VALUE"
            + " | traffic info FILE..."
            + " | members HOST:PORT"
            + " | registry show|watch|put-host|drain|delete OPERATOR_FILE ...";

    private static final int FAILURE_STATUS = 2;
    /** The time allowed for writing the last lines of output before the process exits. */
    private static final long OUTPUT_DRAIN_MILLIS = 1_000;
    /** The environment variable with the path of the configuration, used if the command line has none. */
    private static final String CONFIG_VARIABLE = "NODE_CONFIG";

    private Main() {}

    /** Runs the command named by the first argument. */
    public static void main(String[] args) {
        try {
            run(List.of(args));
        } catch (ConfigException | IllegalArgumentException | IOException e) {
            System.err.println("mintstair: " + FirstLine.of(e));
            NonBlockingOutput.drainStandardStreams(OUTPUT_DRAIN_MILLIS);
            System.exit(FAILURE_STATUS);
        }
    }

    private static void run(List<String> args) throws IOException {
        requireUsage(!args.isEmpty());
        List<String> options = args.subList(1, args.size());
        switch (args.get(0)) {
            case "adapter" -> adapter(options);
            case "serve" -> serve(options);
            case "check" -> check(options);
            case "replay" -> ReplayCommand.run(options);
            case "store" -> StoreCommand.run(options);
            case "traffic" ->
                System.exit(TrafficCommand.run(options, new PrintWriter(System.out, false, Charset.defaultCharset())));
            case "members" -> members(options);
            case "registry" -> registry(options);
            default -> throw new ConfigException(USAGE);
        }
    }

    /** Throws an error with the usage of all commands unless the condition holds. */
    static void requireUsage(boolean condition) {
        if (!condition) {
            throw new ConfigException(USAGE);
        }
    }

    private static void adapter(List<String> options) throws IOException {
        requireUsage(options.isEmpty());
        Adapter.run();
    }

    private static void check(List<String> options) throws IOException {
        requireUsage(options.size() == 1);
        ConfigurationCheck.run(NodeConfig.read(Path.of(options.get(0))));
        System.exit(0);
    }

    /** Starts a proxy with the configuration file named in the options, or else in the environment. */
    private static void serve(List<String> options) throws IOException {
        NonBlockingOutput.install();
        FatalErrors.install();
        ReloadSignal reloadSignal = new ReloadSignal();
        OperatorConfig operator = OperatorConfig.NONE;
        String file = System.getenv(CONFIG_VARIABLE);
        for (int i = 0; i < options.size(); i++) {
            String option = options.get(i);
            if (option.equals("--operator") && i + 1 < options.size()) {
                i++;
                operator = OperatorConfig.read(Path.of(options.get(i)));
            } else {
                requireUsage(!option.startsWith("-"));
                file = option;
            }
        }
        if (file == null) {
            throw new ConfigException("no configuration: pass a file or set NODE_CONFIG");
        }
        Path path = Path.of(file);
        new ProxyStartup(NodeConfig.read(path), operator).start(path, reloadSignal);
    }

    private static void members(List<String> options) throws IOException {
        requireUsage(options.size() == 1);
        System.exit(MembersCommand.run(NodeConfig.parseAddress(options.get(0)), System.out));
    }

    /** Shows, watches or changes the contents of the registry. */
    private static void registry(List<String> options) throws IOException {
        requireUsage(options.size() >= 2);
        String operatorFile = options.get(1);
        RegistryConfig config = OperatorConfig.read(Path.of(operatorFile)).registry();
        if (config == null) {
            throw new ConfigException(operatorFile + ": no registry is configured");
        }
        RegistryCommand command = new RegistryCommand(config, System.out);
        System.exit(command.run(options.get(0), options.subList(2, options.size())));
    }
}
