package mintstair.decision;

/** The health checks of one endpoint. Times are microseconds on the router's clock. */
final class HealthCheckState {
    /** When the next timed check is due. */
    long dueAt;
    /** When the last check was sent. */
    long sentAt = Endpoint.NEVER;
    /** Whether a check is out. */
    boolean inFlight;

    HealthCheckState(long firstAt) {
        dueAt = firstAt;
    }
}
