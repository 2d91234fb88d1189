package mintstair.traffic;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import mintstair.config.ConfigException;
import mintstair.config.NodeConfig;
import mintstair.time.WallClock;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Plays a recording to a front and compares the responses. */
@Command(
        name = "replay",
        description = "Plays the requests of a recording to a front, each at its recorded distance, and compares"
                + " the answers; status 1 where some differ or could not be sent.",
        mixinStandardHelpOptions = true)
final class ReplayCommand implements Callable<Integer> {
    private static final String LIVE = "live";
    private static final String RECORDED = "recorded";

    @Mixin
    private RecordingOptions recording = new RecordingOptions();

    @Option(
            names = "--to",
            paramLabel = "HOST:PORT",
            defaultValue = "127.0.0.1:5433",
            description = "the front (${DEFAULT-VALUE})")
    private String to;

    @Option(
            names = "--protocol",
            defaultValue = "POSTGRESQL",
            description = "what it speaks: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Recording.Protocol protocol;

    @Option(names = "--speed", defaultValue = "1", description = "2 plays in half the time")
    private double speed;

    @Option(names = "--from", defaultValue = "0", description = "seconds from the first request on that are left out")
    private double from;

    @Option(
            names = "--until",
            defaultValue = "1e12",
            description = "seconds from the first request on after which nothing is played")
    private double until;

    @Option(names = "--class", paramLabel = "CLASS", description = "a class that is played; all where none is named")
    private List<String> classes = List.of();

    @Option(
            names = "--session",
            paramLabel = "SESSION",
            description = "a session that is played; all where none is named")
    private List<String> sessions = List.of();

    @Option(
            names = "--times",
            defaultValue = "1",
            description = "how often each request is played, by sessions of other names")
    private int times;

    @Option(
            names = "--retries",
            defaultValue = RECORDED,
            description = "recorded: retries are played as they were; live: they are made anew")
    private String retries;

    @Option(names = "--report", paramLabel = "FILE", description = "writes the comparison as a page with charts")
    private Path report;

    @Option(
            names = "--retry-budget",
            defaultValue = "0.1",
            description = "for live retries, the share of first tries (${DEFAULT-VALUE})")
    private double budget;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        ReplayOptions options = toOptions();
        RecordingLoader loader = recording.toLoader();
        List<RecordedExchange> recorded = loader.readAll();
        String idPrefix = Long.toHexString(WallClock.millis()) + "x";
        ReplayOutcome outcome;
        try (Replayer replayer = new Replayer(recorded, options, NodeConfig.parseAddress(to), protocol, idPrefix)) {
            outcome = ReplayOutcome.of(replayer.play(), replayer);
        }
        PrintWriter out = spec.commandLine().getOut();
        outcome.print(out);
        out.println("lost in reading: " + loader.drops().describe());
        out.flush();
        TrafficCommand.writeReport(report, "Replay to " + to, outcome.comparison());
        return outcome.isSame() ? 0 : TrafficCommand.STATUS_DIFFERENT;
    }

    private ReplayOptions toOptions() {
        if (!retries.equals(LIVE) && !retries.equals(RECORDED)) {
            throw new ConfigException("traffic: --retries is recorded or live");
        }
        try {
            return new ReplayOptions(
                    speed, from, until, Set.copyOf(classes), Set.copyOf(sessions), times, retries.equals(LIVE), budget);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("traffic: " + e.getMessage());
        }
    }
}
