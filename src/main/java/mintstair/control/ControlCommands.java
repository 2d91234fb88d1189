package mintstair.control;

import java.util.function.Supplier;
import mintstair.stats.MetricsSnapshot;

/** Responds to the commands of the control address. Thread-safe. */
public final class ControlCommands {
    private static final String FAIL = "fail\n";
    private static final String OK = "ok\n";
    private static final String EOF = "eof\n";

    private final Supplier<MetricsSnapshot> metrics;
    private volatile boolean ready;
    private volatile Supplier<String> members;

    /** Creates the commands; {@code metrics} returns the latest snapshot without waiting for the event loop. */
    public ControlCommands(Supplier<MetricsSnapshot> metrics) {
        this.metrics = metrics;
    }

    /** Sets the readiness: true from when the fronts listen until shutdown begins. */
    public void setReady(boolean ready) {
        this.ready = ready;
    }

    /** Sets the source of the fleet members, one per line; without it the command {@code members} fails. */
    public void setMembers(Supplier<String> lines) {
        members = lines;
    }

    /** Returns the complete response to a command line; {@code fail} if the command is unknown. */
    String respond(String line) {
        return switch (line.strip()) {
            case "readyz" -> ready ? OK : FAIL;
            case "telemetry" -> OK + metrics.get() + EOF;
            case "members" -> members == null ? FAIL : OK + members.get() + EOF;
            default -> FAIL;
        };
    }
}
