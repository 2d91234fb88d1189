package mintstair.decision;

/** The state of the health checks of one endpoint. Times are in microseconds on the router's clock. */
final class HealthCheckState {
    /** When the next periodic check is due. */
    long dueAt;
    /** When the last check was sent. */
    long sentAt = Endpoint.NEVER;
    /** Whether a check has been sent and has not ended. */
    boolean inFlight;

    HealthCheckState(long firstAt) {
        dueAt = firstAt;
    }
}
