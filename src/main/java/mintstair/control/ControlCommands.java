package mintstair.control;

import java.util.function.Supplier;
import mintstair.stats.MetricsSnapshot;

/** The commands of the control address and their responses. Safe for use by several threads. */
public final class ControlCommands {
    private static final String FAIL = "fail\n";
    private static final String OK = "ok\n";
    private static final String EOF = "eof\n";

    private final Supplier<MetricsSnapshot> metrics;
    private volatile boolean ready;
    private volatile Supplier<String> members;

    /** {@code metrics} gives the latest snapshot without waiting for the event loop. */
    public ControlCommands(Supplier<MetricsSnapshot> metrics) {
        this.metrics = metrics;
    }

    /** Sets the readiness: true from the time the fronts listen until the process is to end. */
    public void setReady(boolean ready) {
        this.ready = ready;
    }

    /** Sets what gives the members of the fleet, a line each; without it the command {@code members} fails. */
    public void setMembers(Supplier<String> lines) {
        members = lines;
    }

    /** The whole response to the line of a command; {@code fail} to an unknown one. */
    String respond(String line) {
        return switch (line.strip()) {
            case "readyz" -> ready ? OK : FAIL;
            case "telemetry" -> OK + metrics.get() + EOF;
            case "members" -> members == null ? FAIL : OK + members.get() + EOF;
            default -> FAIL;
        };
    }
}
