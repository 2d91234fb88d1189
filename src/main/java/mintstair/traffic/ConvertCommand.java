package mintstair.traffic;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import mintstair.config.ConfigException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Writes the exchanges of a recording as lines of JSON. */
@Command(
        name = "convert",
        description = "Writes the exchanges of a recording as lines of JSON, without the messages.",
        mixinStandardHelpOptions = true)
final class ConvertCommand implements Callable<Integer> {
    private static final String STANDARD_OUTPUT = "-";

    @Mixin
    private RecordingOptions recording = new RecordingOptions();

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
        RecordingLoader loader = recording.toLoader();
        if (to.equals(STANDARD_OUTPUT)) {
            writeLines(loader, spec.commandLine().getOut());
        } else {
            try (PrintWriter file = open(Path.of(to))) {
                writeLines(loader, file);
            }
        }
        if (!loader.drops().isEmpty()) {
            System.err.println("lost in reading: " + loader.drops());
        }
        return 0;
    }

    private static PrintWriter open(Path file) {
        try {
            return new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new ConfigException(file + ": can't be written");
        }
    }

    private void writeLines(RecordingLoader loader, PrintWriter lines) {
        loader.read(exchange -> lines.println(ExchangeJson.write(exchange)));
        lines.flush();
        if (lines.checkError()) {
            throw new ConfigException(to + ": can't be written");
        }
    }
}
