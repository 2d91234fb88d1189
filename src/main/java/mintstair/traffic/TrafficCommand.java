package mintstair.traffic;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import mintstair.config.ConfigException;
import mintstair.config.NodeConfig;
import mintstair.pcap.DropCounters;
import mintstair.time.WallClock;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What operators do with recorded traffic from the command line. */
@Command(
        name = "traffic",
        description = "Looks at recorded traffic, replays and compares it.",
        mixinStandardHelpOptions = true,
        subcommands = {
            TrafficCommand.Info.class,
            TrafficCommand.Convert.class,
            TrafficCommand.Replay.class,
            TrafficCommand.Diff.class
        })
public final class TrafficCommand {
    private TrafficCommand() {}

    /** Carries out one command; returns the status to end with. Wrong words get one line and status 2. */
    public static int run(List<String> words, PrintWriter out) {
        CommandLine line = new CommandLine(new TrafficCommand()).setOut(out);
        line.setParameterExceptionHandler((e, args) -> unusable("traffic: " + e.getMessage()));
        line.setExecutionExceptionHandler((e, at, parsed) -> {
            if (e instanceof ConfigException) {
                return unusable(e.getMessage());
            }
            throw e;
        });
        return line.execute(words.toArray(new String[0]));
    }

    private static int unusable(String why) {
        System.err.println("mintstair: " + why.split("\n")[0]);
        return 2;
    }

    private static void write(Path report, String title, Comparison comparison) {
        if (report != null) {
            try {
                Report.write(report, title, comparison);
            } catch (IOException e) {
                throw new ConfigException(report + ": can't be written: " + e.getMessage());
            }
        }
    }

    /** Where the traffic of a recording is. */
    static final class Source {
        /** What a request holds on the heap beside its message, about. */
        private static final int OVERHEAD = 400;

        @Parameters(
                arity = "1..*",
                paramLabel = "FILE",
                description = "pcap or pcapng files, in the order in which they were written")
        private List<Path> files;

        @Option(
                names = "--port",
                paramLabel = "PORT",
                description = "a port that PostgreSQL's clients connected to (5433)")
        private List<Integer> ports = List.of(5433);

        @Option(
                names = "--mongodb-port",
                paramLabel = "PORT",
                description = "a port that MongoDB's clients connected to")
        private List<Integer> mongoPorts = List.of();

        private Map<Integer, Recording.Protocol> ports() {
            Map<Integer, Recording.Protocol> all = new HashMap<>();
            ports.forEach(port -> all.put(port, Recording.Protocol.POSTGRESQL));
            mongoPorts.forEach(port -> all.put(port, Recording.Protocol.MONGODB));
            return all;
        }

        @Option(
                names = "--merge",
                description =
                        "the files lie beside each other, one of each proxy; else each goes on where the one before ended")
        private boolean merge;

        private final List<TimeLine> lines = new ArrayList<>();

        Source() {}

        Source(List<Path> files, List<Integer> ports, List<Integer> mongoPorts) {
            this.files = files;
            this.ports = ports;
            this.mongoPorts = mongoPorts;
        }

        /** All exchanges, in the order of their answers; more than there is room for is an error. */
        List<RecordedExchange> exchanges(DropCounters losses) {
            List<RecordedExchange> all = new ArrayList<>();
            long[] bytes = new long[1];
            read(losses, e -> {
                bytes[0] += e.message().length + OVERHEAD;
                if (bytes[0] > Runtime.getRuntime().maxMemory() / 2) {
                    throw new ConfigException(files.get(0)
                            + ": more than half of the heap in requests; choose a part, or give more with -Xmx");
                }
                all.add(e);
            });
            return all;
        }

        private TimeLine line() {
            TimeLine line = new TimeLine(Long.MAX_VALUE);
            lines.add(line);
            return line;
        }

        /** What was repaired of the files' times, in words. */
        String repaired() {
            String text = lines.stream()
                    .map(TimeLine::repaired)
                    .filter(t -> !t.isEmpty())
                    .collect(Collectors.joining("; "));
            return text.isEmpty() ? "nothing" : text;
        }

        int read(DropCounters losses, Consumer<RecordedExchange> out) {
            try {
                return Recording.read(files, merge, this::line, ports(), losses, out);
            } catch (NoSuchFileException e) {
                throw new ConfigException(e.getMessage() + ": no such file");
            } catch (IOException e) {
                throw new ConfigException(files.get(0) + ": " + e.getMessage());
            }
        }
    }

    /** Tells what a recording holds. */
    @Command(
            name = "info",
            description = "Tells what a recording holds: requests by class, answers, latencies, what was lost.",
            mixinStandardHelpOptions = true)
    static final class Info implements Callable<Integer> {
        @CommandLine.Mixin
        private Source source = new Source();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            DropCounters losses = new DropCounters();
            Summary summary = new Summary();
            int connections = source.read(losses, summary::add);
            PrintWriter out = spec.commandLine().getOut();
            out.print(summary);
            out.println(String.format(
                    Locale.ROOT,
                    "connections=%d requests=%d seconds=%.3f",
                    connections,
                    summary.count(),
                    summary.seconds()));
            out.println("lost: " + (losses.toString().isEmpty() ? "nothing" : losses));
            out.println("time repaired: " + source.repaired());
            out.flush();
            return 0;
        }
    }

    /** Writes the exchanges as lines of JSON, for other tools. */
    @Command(
            name = "convert",
            description = "Writes the exchanges of a recording as lines of JSON, without the messages.",
            mixinStandardHelpOptions = true)
    static final class Convert implements Callable<Integer> {
        @CommandLine.Mixin
        private Source source = new Source();

        @Option(
                names = "--to",
                paramLabel = "FILE",
                required = true,
                description = "the file that is written, - for standard output")
        private String to;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            DropCounters losses = new DropCounters();
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter lines = to.equals("-") ? out : writer(Path.of(to));
            try {
                source.read(losses, e -> lines.println(ExchangeLine.of(e)));
                lines.flush();
                if (lines.checkError()) {
                    throw new ConfigException(to + ": can't be written");
                }
            } finally {
                if (lines != out) {
                    lines.close();
                }
            }
            if (!losses.toString().isEmpty()) {
                System.err.println("lost in reading: " + losses);
            }
            return 0;
        }

        private static PrintWriter writer(Path file) {
            try {
                return new PrintWriter(Files.newBufferedWriter(file));
            } catch (IOException e) {
                throw new ConfigException(file + ": can't be written");
            }
        }
    }

    /** Plays a recording to a front and compares the answers. */
    @Command(
            name = "replay",
            description = "Plays the requests of a recording to a front, each at its recorded distance, and compares"
                    + " the answers; status 1 where some differ or could not be sent.",
            mixinStandardHelpOptions = true)
    static final class Replay implements Callable<Integer> {
        @CommandLine.Mixin
        private Source source = new Source();

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

        @Option(
                names = "--from",
                defaultValue = "0",
                description = "seconds from the first request on that are left out")
        private double from;

        @Option(
                names = "--until",
                defaultValue = "1e12",
                description = "seconds from the first request on after which nothing is played")
        private double until;

        @Option(
                names = "--class",
                paramLabel = "CLASS",
                description = "a class that is played; all where none is named")
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
                defaultValue = "recorded",
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
            ReplayOptions options;
            try {
                if (!retries.equals("live") && !retries.equals("recorded")) {
                    throw new IllegalArgumentException("--retries is recorded or live");
                }
                options = new ReplayOptions(
                        speed,
                        from,
                        until,
                        Set.copyOf(classes),
                        Set.copyOf(sessions),
                        times,
                        retries.equals("live"),
                        budget);
            } catch (IllegalArgumentException e) {
                throw new ConfigException("traffic: " + e.getMessage());
            }
            DropCounters losses = new DropCounters();
            List<RecordedExchange> recorded = source.exchanges(losses);
            PrintWriter out = spec.commandLine().getOut();
            try (Replayer replayer = new Replayer(
                    recorded, options, NodeConfig.address(to), protocol, Long.toHexString(WallClock.millis()) + "x")) {
                return told(replayer, replayer.play(), losses, out);
            }
        }

        private int told(Replayer replayer, List<Replayer.Played> played, DropCounters losses, PrintWriter out) {
            Comparison comparison = new Comparison();
            played.stream()
                    .filter(p -> !p.planned().retry)
                    .forEach(p -> comparison.add(p.planned().recorded, p.replayed()));
            long late = replayer.schedule().all().stream()
                    .filter(p -> p.fate == ReplaySchedule.Fate.TOO_LATE)
                    .count();
            out.print(comparison);
            out.println(String.format(
                    Locale.ROOT,
                    "sent=%d connections=%d not_sent=%d retries_without_budget=%d lateness_us p50=%d p99=%d most=%d",
                    played.size(),
                    replayer.schedule().lanes(),
                    late,
                    replayer.schedule().retriesRefused(),
                    replayer.lateness().getValueAtPercentile(50),
                    replayer.lateness().getValueAtPercentile(99),
                    replayer.lateness().getMaxValue()));
            if (late > 0) {
                out.println("not sent: " + late + " reads, as the write that they follow had no answer in time");
            }
            out.println("lost in reading: " + (losses.toString().isEmpty() ? "nothing" : losses));
            out.flush();
            write(report, "Replay to " + to, comparison);
            return comparison.isSame() && late == 0 ? 0 : 1;
        }
    }

    /** Compares two recordings. */
    @Command(
            name = "diff",
            description = "Matches the requests of two recordings and tells where they differ; status 1 where they do.",
            mixinStandardHelpOptions = true)
    static final class Diff implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "FIRST")
        private Path first;

        @Parameters(index = "1", paramLabel = "SECOND")
        private Path second;

        @Option(names = "--report", paramLabel = "FILE", description = "writes the comparison as a page with charts")
        private Path report;

        @Option(
                names = "--port",
                paramLabel = "PORT",
                description = "a port that PostgreSQL's clients connected to (5433)")
        private List<Integer> ports = List.of(5433);

        @Option(
                names = "--mongodb-port",
                paramLabel = "PORT",
                description = "a port that MongoDB's clients connected to")
        private List<Integer> mongoPorts = List.of();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            DropCounters losses = new DropCounters();
            Comparison comparison = Comparison.of(
                    new Source(List.of(first), ports, mongoPorts).exchanges(losses),
                    new Source(List.of(second), ports, mongoPorts).exchanges(losses));
            PrintWriter out = spec.commandLine().getOut();
            out.print(comparison);
            out.println("pairs=" + comparison.pairs() + " lost in reading: "
                    + (losses.toString().isEmpty() ? "nothing" : losses));
            out.flush();
            write(report, first.getFileName() + " and " + second.getFileName(), comparison);
            return comparison.isSame() ? 0 : 1;
        }
    }
}
