package mintstair.request;

import java.util.List;

/**
 * The hosts as service discovery lists them.
 *
 * @param revision increases with each change of the list at its source
 * @param isSnapshot whether this is a snapshot of all hosts; else a delta, which holds those that changed
 * @param entries the hosts
 */
public record EndpointList(long revision, boolean isSnapshot, List<Entry> entries) {
    /** The state of a host's process. */
    public enum State {
        /** It takes requests. */
        SERVING,
        /** It is about to leave and takes no new requests. */
        DRAINING,
        /** It is no longer listed. */
        REMOVED
    }

    /**
     * One host.
     *
     * @param host its name, unique within the list
     * @param endpoint its address, {@code host:port}
     * @param zone the availability zone that it runs in
     * @param cluster the replica set that it belongs to
     * @param state the state of its process
     * @param primary whether it is listed as the primary of its replica set
     * @param capacity its capacity relative to other hosts; 1 is usual
     * @param startedAtMicros when its process started, in Unix microseconds; 0 for long ago
     */
    public record Entry(
            String host,
            String endpoint,
            String zone,
            int cluster,
            State state,
            boolean primary,
            double capacity,
            long startedAtMicros) {}
}
