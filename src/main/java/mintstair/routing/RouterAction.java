package mintstair.routing;

import mintstair.request.GiveUpReason;

/**
 * An action that the router instructs the network side to take. Actions are immutable and must be executed in the order
 * in which {@link RequestRouter} returns them.
 */
public sealed interface RouterAction {
    /** Calls the method of {@code visitor} for the type of this action. */
    void accept(Visitor visitor);

    /** Executes actions, with one method for each type. */
    interface Visitor {
        /** Starts an attempt. */
        void send(Send action);

        /** Cancels an attempt that has not ended. */
        void cancel(Cancel action);

        /** Sends the final response to a request: rejected. */
        void reject(Reject action);

        /** Sends the final response to a request: failed. */
        void fail(Fail action);

        /** Counts the reason for giving up on a request. */
        void gaveUp(GaveUp action);

        /** Starts a health check. */
        void checkHealth(CheckHealth action);

        /** Counts and logs the violation of an invariant. */
        void invariantViolated(InvariantViolated action);

        /** Logs a line. */
        void log(Log action);
    }

    /**
     * Starts an attempt.
     *
     * @param request the number of the request
     * @param attempt the number of the attempt within its request, from 0
     * @param host the name of the host to send it to
     * @param abandonAtMicros when to stop waiting for the reply; 0 for the client's deadline
     * @param beginByMicros the latest time at which the attempt may be written; if it is not written by then, it is not
     *     sent
     */
    record Send(long request, int attempt, String host, long abandonAtMicros, long beginByMicros)
            implements RouterAction {
        @Override
        public void accept(Visitor visitor) {
            visitor.send(this);
        }
    }

    /** Cancels an attempt. */
    record Cancel(long request, int attempt) implements RouterAction {
        @Override
        public void accept(Visitor visitor) {
            visitor.cancel(this);
        }
    }

    /**
     * Rejects a request, as its final response.
     *
     * @param request the number of the request
     * @param retryAfterMicros the recommended delay before a retry by the client; 0 for no recommendation
     */
    record Reject(long request, long retryAfterMicros) implements RouterAction {
        @Override
        public void accept(Visitor visitor) {
            visitor.reject(this);
        }
    }

    /** Fails a request, as its final response. */
    record Fail(long request) implements RouterAction {
        @Override
        public void accept(Visitor visitor) {
            visitor.fail(this);
        }
    }

    /** Counts why the router gives up on a request. The next action is the request's final response. */
    record GaveUp(long request, GiveUpReason reason) implements RouterAction {
        @Override
        public void accept(Visitor visitor) {
            visitor.gaveUp(this);
        }
    }

    /** Polls a host for its report. */
    record CheckHealth(String host) implements RouterAction {
        @Override
        public void accept(Visitor visitor) {
            visitor.checkHealth(this);
        }
    }

    /**
     * Counts and logs the violation of an invariant.
     *
     * @param rule the name of the invariant in metrics and log lines
     * @param request the number of the request
     * @param host the name of the host; empty if the invariant does not concern a host
     */
    record InvariantViolated(String rule, long request, String host) implements RouterAction {
        @Override
        public void accept(Visitor visitor) {
            visitor.invariantViolated(this);
        }
    }

    /** Writes a line to the log. */
    record Log(String text) implements RouterAction {
        @Override
        public void accept(Visitor visitor) {
            visitor.log(this);
        }
    }
}
