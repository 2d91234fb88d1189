package mintstair.traffic;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints what a recording holds. */
@Command(
        name = "info",
        description = "Tells what a recording holds: requests by class, answers, latencies, what was lost.",
        mixinStandardHelpOptions = true)
final class InfoCommand implements Callable<Integer> {
    @Mixin
    private RecordingOptions recording = new RecordingOptions();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        RecordingLoader loader = recording.toLoader();
        RecordingSummary summary = new RecordingSummary();
        int connections = loader.read(summary::add);
        PrintWriter out = spec.commandLine().getOut();
        out.print(summary);
        out.println(String.format(
                Locale.ROOT,
                "connections=%d requests=%d seconds=%.3f",
                connections,
                summary.requests(),
                summary.seconds()));
        out.println("lost: " + loader.drops().describe());
        out.println("time repaired: " + loader.describeRepairs());
        out.flush();
        return 0;
    }
}
