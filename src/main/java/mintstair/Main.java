package mintstair;

import java.io.IOException;
import java.nio.file.Path;
import mintstair.adapter.Adapter;
import mintstair.config.ConfigException;
import mintstair.config.NodeConfig;
import mintstair.proxy.Proxy;

/** The program's commands; what is wrong with its input ends it with one line and status 2. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        try {
            if (args.length == 1 && args[0].equals("adapter")) {
                Adapter.run();
            } else if (args.length >= 1 && args.length <= 2 && args[0].equals("serve")) {
                String file = args.length == 2 ? args[1] : System.getenv("NODE_CONFIG");
                if (file == null) {
                    throw new ConfigException("no configuration: name a file or set NODE_CONFIG");
                }
                new Proxy(NodeConfig.read(Path.of(file))).start();
            } else {
                throw new ConfigException("usage: java -jar mintstair.jar serve [FILE] | adapter");
            }
        } catch (ConfigException | IllegalArgumentException | IOException e) {
            System.err.println("mintstair: " + String.valueOf(e.getMessage()).split("\n")[0]);
            System.exit(2);
        }
    }
}
