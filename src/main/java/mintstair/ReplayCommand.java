package mintstair;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import mintstair.config.ConfigException;
import mintstair.config.NodeConfig;
import mintstair.pcap.SerialReplay;

/** The command {@code replay}: sends the requests of a capture again. */
final class ReplayCommand {
    private static final String DEFAULT_TARGET = "127.0.0.1:5433";

    private ReplayCommand() {}

    /** Replays the captured requests to the port given, by default that of the target, and prints the result. */
    static void run(List<String> options) throws IOException {
        Main.requireUsage(!options.isEmpty());
        InetSocketAddress target = NodeConfig.parseAddress(DEFAULT_TARGET);
        String port = null;
        boolean mongodb = false;
        int last = options.size() - 1;
        for (int i = 0; i < last; i++) {
            switch (options.get(i)) {
                case "--to" -> target = NodeConfig.parseAddress(options.get(++i));
                case "--port" -> port = options.get(++i);
                case "--mongodb" -> mongodb = true;
                default -> throw new ConfigException(Main.USAGE);
            }
        }
        int capturedPort = port == null ? target.getPort() : portNumber(port);
        replay(Path.of(options.get(last)), target, capturedPort, mongodb);
    }

    private static int portNumber(String port) {
        return NodeConfig.parseAddress("any:" + port).getPort();
    }

    private static void replay(Path file, InetSocketAddress target, int capturedPort, boolean mongodb) {
        try {
            System.out.println(new SerialReplay(target, mongodb).play(file, capturedPort));
        } catch (NoSuchFileException e) {
            throw new ConfigException(file + ": no such file", e);
        } catch (IOException e) {
            throw new ConfigException(file + " to " + target + ": " + e.getMessage(), e);
        }
    }
}
