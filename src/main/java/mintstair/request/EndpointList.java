package mintstair.request;

import java.util.List;

/** The list of hosts as discovery tells it: all of them, or those that changed. */
public record EndpointList(long revision, boolean whole, List<Entry> entries) {
    /** What the list says of a host's process. */
    public enum State {
        SERVING,
        DRAINING,
        REMOVED
    }

    /** One host; {@code started} in Unix microseconds, 0 for long ago. */
    public record Entry(
            String host,
            String endpoint,
            String zone,
            int cluster,
            State state,
            boolean primary,
            double size,
            long started) {}
}
