package mintstair.decision;

/**
 * Tracks the replication positions that endpoints have reached. Positions and times are in microseconds. Not safe for
 * use by several threads.
 */
final class ReplicationMonitor {
    /** The smallest lag assumed of reports, until one has shown a smaller one. */
    private static final long INITIAL_MIN_REPORTED_LAG_MICROS = 75_000;

    private long minReportedLag = INITIAL_MIN_REPORTED_LAG_MICROS;

    /** Records that a replica reported its position, {@code lag} behind the current one. */
    void positionReported(long now, Endpoint endpoint, long position, long lag) {
        endpoint.replication.lag = lag;
        endpoint.replication.reportedAt = now;
        minReportedLag = Math.min(lag, minReportedLag);
        positionReached(endpoint, position);
    }

    /** Records that the endpoint has proven to have reached this position. */
    void positionReached(Endpoint endpoint, long position) {
        endpoint.replication.position = Math.max(endpoint.replication.position, position);
        endpoint.replicaSet.newestPosition = Math.max(endpoint.replicaSet.newestPosition, position);
    }

    /** Returns the smallest lag of all reports: a health check cannot prove a replica more recent than that. */
    long minReportedLag() {
        return minReportedLag;
    }
}
