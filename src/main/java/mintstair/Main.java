package mintstair;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import mintstair.adapter.Adapter;
import mintstair.config.ConfigException;
import mintstair.config.NodeConfig;
import mintstair.config.OperatorConfig;
import mintstair.config.RegistryConfig;
import mintstair.control.MembersCommand;
import mintstair.log.NonBlockingOutput;
import mintstair.pcap.Replay;
import mintstair.registry.RegistryCommand;
import mintstair.serve.ConfigurationCheck;
import mintstair.serve.ProxyStartup;
import mintstair.serve.ReloadSignal;
import mintstair.store.Store;
import mintstair.traffic.TrafficCommand;

/** The program's commands; what is wrong with its input ends it with one line and status 2. */
public final class Main {
    private static final String USAGE =
            "usage: java -jar mintstair.jar serve [--operator FILE] [FILE] | check FILE | adapter"
                    + " | replay [--to HOST:PORT] [--port PORT] [--mongodb] FILE | store OPERATOR_FILE get KEY"
                    + " | store OPERATOR_FILE put KEY VALUE"
                    + " | traffic info FILE..."
                    + " | members HOST:PORT"
                    + " | registry show|watch|put-host|drain|delete OPERATOR_FILE ...";

    private static final long LAST_LINES_MILLIS = 1_000;

    private Main() {}

    public static void main(String[] args) {
        try {
            if (args.length == 1 && args[0].equals("adapter")) {
                Adapter.run();
            } else if (args.length >= 1 && args[0].equals("serve")) {
                serve(Arrays.asList(args).subList(1, args.length));
            } else if (args.length == 2 && args[0].equals("check")) {
                ConfigurationCheck.run(NodeConfig.read(Path.of(args[1])));
                System.exit(0);
            } else if (args.length >= 2 && args[0].equals("replay")) {
                replay(Arrays.asList(args).subList(1, args.length));
            } else if (args.length >= 4 && args[0].equals("store")) {
                store(args);
            } else if (args.length >= 1 && args[0].equals("traffic")) {
                System.exit(TrafficCommand.run(
                        Arrays.asList(args).subList(1, args.length),
                        new PrintWriter(System.out, false, Charset.defaultCharset())));
            } else if (args.length == 2 && args[0].equals("members")) {
                System.exit(MembersCommand.run(NodeConfig.address(args[1]), System.out));
            } else if (args.length >= 3 && args[0].equals("registry")) {
                registry(args);
            } else {
                throw new ConfigException(USAGE);
            }
        } catch (ConfigException | IllegalArgumentException | IOException e) {
            System.err.println("mintstair: " + String.valueOf(e.getMessage()).split("\n")[0]);
            NonBlockingOutput.drainInstalled(LAST_LINES_MILLIS);
            System.exit(2);
        }
    }

    /** The configuration is the file named, or the platform's; the operator's file is named or there is none. */
    private static void serve(List<String> args) throws IOException {
        NonBlockingOutput.install();
        ReloadSignal reloadSignal = new ReloadSignal();
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
        Path path = Path.of(file);
        new ProxyStartup(NodeConfig.read(path), operator).start(path, reloadSignal);
    }

    /** Plays the requests of a capture once more; by default those to the port that is played to. */
    private static void replay(List<String> args) throws IOException {
        InetSocketAddress to = NodeConfig.address("127.0.0.1:5433");
        String port = null;
        boolean mongo = false;
        for (int i = 0; i < args.size() - 1; i++) {
            switch (args.get(i)) {
                case "--to" -> to = NodeConfig.address(args.get(++i));
                case "--port" -> port = args.get(++i);
                case "--mongodb" -> mongo = true;
                default -> throw new ConfigException(USAGE);
            }
        }
        int captured =
                port == null ? to.getPort() : NodeConfig.address("any:" + port).getPort();
        Path file = Path.of(args.get(args.size() - 1));
        try {
            System.out.println(new Replay(to, mongo).play(file, captured));
        } catch (NoSuchFileException e) {
            throw new ConfigException(file + ": no such file");
        } catch (IOException e) {
            throw new ConfigException(file + " to " + to + ": " + e.getMessage());
        }
    }

    /** Shows, follows or changes what the registry holds. */
    private static void registry(String[] args) throws IOException {
        RegistryConfig config = OperatorConfig.read(Path.of(args[2])).registry();
        if (config == null) {
            throw new ConfigException(args[2] + ": no registry is set up");
        }
        System.exit(new RegistryCommand(config, System.out)
                .run(args[1], Arrays.asList(args).subList(3, args.length)));
    }

    /** Reads or writes one entry of the store, from outside its members. */
    private static void store(String[] args) throws IOException {
        OperatorConfig.Members members = OperatorConfig.read(Path.of(args[1])).store();
        if (members == null) {
            throw new ConfigException(args[1] + ": no store is set up");
        }
        try (Store store = Store.outside(members.members())) {
            if (args[2].equals("get") && args.length == 4) {
                String value = store.get(args[3]);
                if (value == null) {
                    throw new ConfigException("no entry " + args[3]);
                }
                System.out.println(value);
            } else if (args[2].equals("put") && args.length == 5) {
                // A list of some hundred hosts is longer than the system lets an argument be.
                store.put(
                        args[3],
                        args[4].equals("-")
                                ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8).strip()
                                : args[4]);
            } else {
                throw new ConfigException(USAGE);
            }
        }
    }
}
