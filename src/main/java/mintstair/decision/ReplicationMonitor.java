package mintstair.decision;

/**
 * Keeps track of the positions that endpoints have reached. Positions and times are microseconds. Not safe for use by
 * several threads.
 */
final class ReplicationMonitor {
    /** Age assumed of the youngest report, until one has shown how young they come. */
    private static final long INITIAL_YOUNGEST_REPORT = 75_000;

    private long youngestReport = INITIAL_YOUNGEST_REPORT;

    /** A replica reported its position, {@code lag} behind the present. */
    void positionReported(long now, Endpoint endpoint, long position, long lag) {
        endpoint.replication.lag = lag;
        endpoint.replication.reportedAt = now;
        youngestReport = Math.min(lag, youngestReport);
        positionReached(endpoint, position);
    }

    /** The endpoint has proven to have reached this position. */
    void positionReached(Endpoint endpoint, long position) {
        endpoint.replication.position = Math.max(endpoint.replication.position, position);
        endpoint.replicaSet.newestPosition = Math.max(endpoint.replicaSet.newestPosition, position);
    }

    /** The smallest lag that any report has shown: a health check can't prove a replica more recent than that. */
    long minReportedLag() {
        return youngestReport;
    }
}
