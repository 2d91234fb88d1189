package mintstair.traffic;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import mintstair.config.ConfigException;
import mintstair.pcap.Losses;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What operators do with recorded traffic from the command line. */
@Command(name = "traffic", description = "Looks at recorded traffic.", mixinStandardHelpOptions = true,
    subcommands = {TrafficCommand.Info.class})
public final class TrafficCommand {
    private TrafficCommand() { }

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

    /** Where the traffic of a recording is. */
    static final class Source {
        @Parameters(arity = "1..*", paramLabel = "FILE", description = "pcap or pcapng files, in the order in which they were written")
        private List<Path> files;

        @Option(names = "--port", paramLabel = "PORT", description = "a port that PostgreSQL's clients connected to (5433)")
        private List<Integer> ports = List.of(5433);

        @Option(names = "--mongodb-port", paramLabel = "PORT", description = "a port that MongoDB's clients connected to")
        private List<Integer> mongoPorts = List.of();

        private Map<Integer, Recording.Protocol> ports() {
            Map<Integer, Recording.Protocol> all = new HashMap<>();
            ports.forEach(port -> all.put(port, Recording.Protocol.POSTGRESQL));
            mongoPorts.forEach(port -> all.put(port, Recording.Protocol.MONGODB));
            return all;
        }

        @Option(names = "--merge", description = "the files lie beside each other, one of each proxy; else each goes on where the one before ended")
        private boolean merge;

        private final List<TimeLine> lines = new ArrayList<>();

        private TimeLine line() {
            TimeLine line = new TimeLine(Long.MAX_VALUE);
            lines.add(line);
            return line;
        }

        /** What was repaired of the files' times, in words. */
        String repaired() {
            String text = lines.stream().map(TimeLine::repaired).filter(t -> !t.isEmpty()).collect(Collectors.joining("; "));
            return text.isEmpty() ? "nothing" : text;
        }

        int read(Losses losses, Consumer<RecordedExchange> out) {
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
    @Command(name = "info", description = "Tells what a recording holds: requests by class, answers, latencies, what was lost.",
        mixinStandardHelpOptions = true)
    static final class Info implements Callable<Integer> {
        @CommandLine.Mixin
        private Source source = new Source();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            Losses losses = new Losses();
            Summary summary = new Summary();
            int connections = source.read(losses, summary::add);
            PrintWriter out = spec.commandLine().getOut();
            out.print(summary);
            out.println(String.format(Locale.ROOT, "connections=%d requests=%d seconds=%.3f", connections, summary.count(), summary.seconds()));
            out.println("lost: " + (losses.toString().isEmpty() ? "nothing" : losses));
            out.println("time repaired: " + source.repaired());
            out.flush();
            return 0;
        }
    }
}
