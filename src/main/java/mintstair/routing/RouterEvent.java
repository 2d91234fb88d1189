package mintstair.routing;

import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReport;

/** An event that the network side reports to the router. Events are immutable. */
public sealed interface RouterEvent {
    /** Calls the method of {@code visitor} for the type of this event, passing on {@code nowMicros}. */
    void accept(long nowMicros, Visitor visitor);

    /** Handles events, with one method for each type. Times are microseconds on the event loop's clock. */
    interface Visitor {
        /** Handles the end of an attempt. */
        void attemptEnded(long nowMicros, AttemptEnded event);

        /** Handles the first part of a streamed reply. */
        void replyStarted(long nowMicros, ReplyStarted event);

        /** Handles the end of a streamed reply. */
        void replyEnded(long nowMicros, ReplyEnded event);

        /** Handles the end of a health check. */
        void healthCheckEnded(long nowMicros, HealthCheckEnded event);

        /** Handles a request whose client no longer waits for the response. */
        void clientDisconnected(long nowMicros, ClientDisconnected event);

        /** Handles a change of the fleet size estimate. */
        void fleetSizeChanged(long nowMicros, FleetSizeChanged event);

        /** Handles a change of the endpoint list. */
        void endpointsUpdated(long nowMicros, EndpointsUpdated event);
    }

    /**
     * Reports that an attempt ended.
     *
     * @param request the number of the request
     * @param attempt the number of the attempt within its request, from 0
     * @param host the name of the host that the attempt was routed to
     * @param end how the attempt ended
     * @param latencyMicros the time from sending the attempt to its end
     * @param requestOver whether the request already has its final response, or receives it from this attempt
     * @param report what the host reported about itself in its reply
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

    /**
     * Reports that the first part of a streamed reply has arrived. It ends the attempt, and is followed by exactly one
     * {@link ReplyEnded}.
     *
     * @param request the number of the request
     * @param attempt the number of the attempt within its request, from 0
     * @param host the name of the host that the attempt was routed to
     * @param latencyMicros the time from sending the attempt to the first part
     */
    record ReplyStarted(long request, int attempt, String host, long latencyMicros) implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.replyStarted(nowMicros, this);
        }
    }

    /**
     * Reports that a streamed reply ended.
     *
     * @param request the number of the request
     * @param end how the reply ended
     * @param report what the host reported about itself at the end of the reply
     */
    record ReplyEnded(long request, ConnectionEnd end, HostReport report) implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.replyEnded(nowMicros, this);
        }
    }

    /**
     * Reports that a health check ended.
     *
     * @param host the name of the host
     * @param end how the health check ended
     * @param latencyMicros the time from sending the health check to its end
     * @param report what the host reported about itself
     */
    record HealthCheckEnded(String host, ConnectionEnd end, long latencyMicros, HostReport report)
            implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.healthCheckEnded(nowMicros, this);
        }
    }

    /** Reports that the client disconnected before its response, or that the deadline of its request has passed. */
    record ClientDisconnected(long request) implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.clientDisconnected(nowMicros, this);
        }
    }

    /**
     * Reports a change of the estimated number of proxies.
     *
     * @param largest the upper bound of the estimate
     * @param counted the number of proxies that this proxy counts
     * @param settled whether all proxies that have settled count each other
     */
    record FleetSizeChanged(int largest, int counted, boolean settled) implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.fleetSizeChanged(nowMicros, this);
        }
    }

    /**
     * Reports a snapshot or a delta of the endpoint list.
     *
     * @param list the snapshot or delta
     * @param cached whether the list was read from the copy that an earlier run stored
     */
    record EndpointsUpdated(EndpointList list, boolean cached) implements RouterEvent {
        @Override
        public void accept(long nowMicros, Visitor visitor) {
            visitor.endpointsUpdated(nowMicros, this);
        }
    }
}
