package mintstair.routing;

import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReport;

/** One thing that the network side reports to the router. Events are immutable. */
public sealed interface RouterEvent {
    /** Calls the method of {@code visitor} for the type of this event; {@code nowMicros} is passed on to it. */
    void accept(long nowMicros, Visitor visitor);

    /** Handles events: one method for each type. Times are microseconds on the event loop's clock. */
    interface Visitor {
        /** An attempt ended. */
        void attemptEnded(long nowMicros, AttemptEnded event);

        /** A health check ended. */
        void healthCheckEnded(long nowMicros, HealthCheckEnded event);

        /** A client left before its answer. */
        void clientDisconnected(long nowMicros, ClientDisconnected event);

        /** The estimate of the fleet size changed. */
        void fleetSizeChanged(long nowMicros, FleetSizeChanged event);

        /** The endpoint list changed. */
        void endpointsUpdated(long nowMicros, EndpointsUpdated event);
    }

    /**
     * One attempt ended.
     *
     * @param request the number of the request
     * @param attempt the number of the attempt within its request
     * @param host the name of the host that it was meant for
     * @param end how it ended
     * @param latencyMicros how long it took
     * @param requestOver whether the request has, or by this gets, its final answer
     * @param report what the host reported about itself with it
     */
    record AttemptEnded(
            long request,
            int attempt,
            String host,
            ConnectionEnd end,
            long latencyMicros,
            boolean requestOver,
            HostReport report)
            implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.attemptEnded(nowMicros, this);
        }
    }

    /** One health check ended, {@code latencyMicros} after it was sent. */
    record HealthCheckEnded(String host, ConnectionEnd end, long latencyMicros, HostReport report)
            implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.healthCheckEnded(nowMicros, this);
        }
    }

    /** The client left before its answer, or its answer can no longer come in time. */
    record ClientDisconnected(long request) implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.clientDisconnected(nowMicros, this);
        }
    }

    /**
     * The estimate of the number of proxies changed.
     *
     * @param largest the largest number that may be true
     * @param counted the number that this proxy counts
     * @param settled whether all proxies that are settled count each other
     */
    record FleetSizeChanged(int largest, int counted, boolean settled) implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.fleetSizeChanged(nowMicros, this);
        }
    }

    /** The endpoint list, or changes to it; {@code cached} where it was read from a copy of an earlier run. */
    record EndpointsUpdated(EndpointList list, boolean cached) implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.endpointsUpdated(nowMicros, this);
        }
    }
}
