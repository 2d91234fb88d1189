package mintstair.request;

/** The final answer to a request, before a front encodes it for its protocol. Immutable. */
public sealed interface Response {
    /** The three ways in which a request can be answered. */
    enum Kind {
        /** With the reply of a host. */
        SERVED,
        /** Rejected: a retry by the client is harmless. */
        REJECTED,
        /** Failed: the request may have had its effect, or not. */
        FAILED
    }

    /** Which of the answers this is. */
    Kind kind();

    /**
     * The reply of a host.
     *
     * @param host the name of the host
     * @param body in the words of its protocol; after parts, the rest
     */
    record Served(String host, byte[] body) implements Response {
        @Override
        public Kind kind() {
            return Kind.SERVED;
        }
    }

    /** Rejected: a retry is harmless, best after {@code retryAfterMillis}; 0 for no advice. */
    record Rejected(long retryAfterMillis) implements Response {
        @Override
        public Kind kind() {
            return Kind.REJECTED;
        }
    }

    /**
     * Failed: the request may have had its effect, or not.
     *
     * @param reason in words for the client
     * @param late whether its deadline has passed
     */
    record Failed(String reason, boolean late) implements Response {
        @Override
        public Kind kind() {
            return Kind.FAILED;
        }
    }
}
