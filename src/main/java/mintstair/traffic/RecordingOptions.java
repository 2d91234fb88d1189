package mintstair.traffic;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mintstair.pcap.DropCounters;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Options that say where the traffic of a recording is; mixed into commands that read one. */
final class RecordingOptions {
    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "pcap or pcapng files, in the order in which they were written")
    private List<Path> files;

    @Option(names = "--port", paramLabel = "PORT", description = "a port that PostgreSQL's clients connected to (5433)")
    private List<Integer> ports = List.of(5433);

    @Option(names = "--mongodb-port", paramLabel = "PORT", description = "a port that MongoDB's clients connected to")
    private List<Integer> mongoPorts = List.of();

    @Option(
            names = "--merge",
            description =
                    "the files lie beside each other, one of each proxy; else each goes on where the one before ended")
    private boolean merge;

    RecordingLoader toLoader() {
        return new RecordingLoader(files, merge, protocolsByPort(ports, mongoPorts), new DropCounters());
    }

    static Map<Integer, Recording.Protocol> protocolsByPort(List<Integer> ports, List<Integer> mongoPorts) {
        Map<Integer, Recording.Protocol> protocols = new HashMap<>();
        ports.forEach(port -> protocols.put(port, Recording.Protocol.POSTGRESQL));
        mongoPorts.forEach(port -> protocols.put(port, Recording.Protocol.MONGODB));
        return protocols;
    }
}
