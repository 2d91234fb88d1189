package mintstair.request;

/** The final response to a request, before a front encodes it for its protocol. Immutable. */
public sealed interface Response {
    /** The kinds of response. */
    enum Kind {
        /** The response is a host's reply. */
        SERVED,
        /** The request was rejected: the client can safely retry it. */
        REJECTED,
        /** The request failed: it may or may not have taken effect. */
        FAILED
    }

    /** Returns the kind of this response. */
    Kind kind();

    /**
     * A host's reply.
     *
     * @param host the name of the host
     * @param body the reply, encoded in the host's protocol; if parts of it have been streamed, the remainder
     */
    record Served(String host, byte[] body) implements Response {
        @Override
        public Kind kind() {
            return Kind.SERVED;
        }
    }

    /**
     * The rejection of a request that the client can safely retry.
     *
     * @param retryAfterMillis the recommended delay before a retry; 0 for no recommendation
     */
    record Rejected(long retryAfterMillis) implements Response {
        @Override
        public Kind kind() {
            return Kind.REJECTED;
        }
    }

    /**
     * The failure of a request that may or may not have taken effect.
     *
     * @param reason the error message for the client
     * @param late whether the request's deadline has passed
     */
    record Failed(String reason, boolean late) implements Response {
        @Override
        public Kind kind() {
            return Kind.FAILED;
        }
    }
}
