package mintstair.control;

import java.util.function.Supplier;
import mintstair.stats.MetricsSnapshot;

/** What the staff and the platform may ask on the second address, and the words of the answers. */
public final class ControlCommands {
    private static final String NO = "fail\n";
    private volatile boolean takesClients;
    private final Supplier<MetricsSnapshot> figures;
    private volatile Supplier<String> members;

    /** {@code figures} gives the newest snapshot at once, whatever the loop is at. */
    public ControlCommands(Supplier<MetricsSnapshot> figures) {
        this.figures = figures;
    }

    /** Says whether this process takes clients: from when its front listens until it is told to end. */
    public void takesClients(boolean does) {
        takesClients = does;
    }

    /** Gives the lines of the fleet as this process sees it; without, nobody is told of it. */
    public void members(Supplier<String> lines) {
        members = lines;
    }

    /** The whole answer to one line; {@code fail} to what is no call. */
    String answer(String line) {
        return switch (line.strip()) {
            case "readyz" -> takesClients ? "ok\n" : NO;
            case "telemetry" -> "ok\n" + figures.get() + "eof\n";
            case "members" -> members == null ? NO : "ok\n" + members.get() + "eof\n";
            default -> NO;
        };
    }
}
