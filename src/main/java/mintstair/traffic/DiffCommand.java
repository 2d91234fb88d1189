package mintstair.traffic;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import mintstair.pcap.DropCounters;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Compares two recordings. */
@Command(
        name = "diff",
        description = "Matches the requests of two recordings and tells where they differ; status 1 where they do.",
        mixinStandardHelpOptions = true)
final class DiffCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FIRST")
    private Path first;

    @Parameters(index = "1", paramLabel = "SECOND")
    private Path second;

    @Option(names = "--report", paramLabel = "FILE", description = "writes the comparison as a page with charts")
    private Path report;

    @Option(names = "--port", paramLabel = "PORT", description = "a port that PostgreSQL's clients connected to (5433)")
    private List<Integer> ports = List.of(5433);

    @Option(names = "--mongodb-port", paramLabel = "PORT", description = "a port that MongoDB's clients connected to")
    private List<Integer> mongoPorts = List.of();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        Map<Integer, Recording.Protocol> protocols = RecordingOptions.protocolsByPort(ports, mongoPorts);
        DropCounters drops = new DropCounters();
        List<RecordedExchange> firstExchanges = new RecordingLoader(List.of(first), false, protocols, drops).readAll();
        List<RecordedExchange> secondExchanges =
                new RecordingLoader(List.of(second), false, protocols, drops).readAll();
        Comparison comparison = Comparison.of(firstExchanges, secondExchanges);
        PrintWriter out = spec.commandLine().getOut();
        out.print(comparison);
        out.println("pairs=" + comparison.pairs() + " lost in reading: " + drops.describe());
        out.flush();
        TrafficCommand.writeReport(report, first.getFileName() + " and " + second.getFileName(), comparison);
        return comparison.isSame() ? 0 : TrafficCommand.STATUS_DIFFERENT;
    }
}
