package mintstair.traffic;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import mintstair.config.ConfigException;
import mintstair.config.FirstLine;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** What operators do with recorded traffic from the command line. */
@Command(
        name = "traffic",
        description = "Looks at recorded traffic, replays and compares it.",
        mixinStandardHelpOptions = true,
        subcommands = {InfoCommand.class, ConvertCommand.class, ReplayCommand.class, DiffCommand.class})
public final class TrafficCommand {
    /** Exit status where recordings differ, or requests could not be sent. */
    static final int STATUS_DIFFERENT = 1;

    private static final int STATUS_UNUSABLE = 2;

    private TrafficCommand() {}

    /**
     * Runs one command.
     *
     * @param args the arguments behind {@code traffic}
     * @return the exit status; arguments and files that can't be used give one line on standard error, and 2
     */
    public static int run(List<String> args, PrintWriter out) {
        CommandLine commandLine = new CommandLine(new TrafficCommand()).setOut(out);
        commandLine.setParameterExceptionHandler(
                (exception, unparsed) -> reportUnusable("traffic: " + exception.getMessage()));
        commandLine.setExecutionExceptionHandler((exception, command, parsed) -> {
            if (exception instanceof ConfigException) {
                return reportUnusable(exception.getMessage());
            }
            throw exception;
        });
        return commandLine.execute(args.toArray(new String[0]));
    }

    private static int reportUnusable(String message) {
        System.err.println("mintstair: " + FirstLine.of(message));
        return STATUS_UNUSABLE;
    }

    /** Writes the report of a comparison, where one was asked for. */
    static void writeReport(Path report, String title, Comparison comparison) {
        if (report == null) {
            return;
        }
        try {
            HtmlReport.write(report, title, comparison);
        } catch (IOException e) {
            throw new ConfigException(report + ": can't be written: " + e.getMessage());
        }
    }
}
