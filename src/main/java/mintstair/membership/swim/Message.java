package mintstair.membership.swim;

import java.util.List;

/**
 * One protocol message.
 *
 * @param sender the sender's own state, so that every message also announces its sender
 * @param body the purpose of the message
 * @param updates gossip updates piggybacked on the message
 */
public record Message(GossipUpdate sender, Body body, List<GossipUpdate> updates) {
    /** The purpose of a message. A {@code sequence} is the number that the probing member chose for its probe. */
    public sealed interface Body {
        /** Calls the visitor's method for this type. */
        void accept(Visitor visitor);
    }

    /** One method for each type of {@link Body}. */
    public interface Visitor {
        /** Visits a ping. */
        void visit(Ping ping);

        /** Visits the answer to a ping. */
        void visit(Ack ack);

        /** Visits the report that a relayed probe was not answered in time. */
        void visit(Nack nack);

        /** Visits the request to relay a probe. */
        void visit(PingRequest request);

        /** Visits the digest that starts a round of anti-entropy. */
        void visit(CompareDigests compare);

        /** Visits the request for the receiver's whole state. */
        void visit(FetchUpdates fetch);

        /** Visits a message that only carries gossip. */
        void visit(GossipOnly gossip);
    }

    /**
     * Probes the receiver, which answers with an {@link Ack}.
     *
     * @param sequence number of the probe
     * @param target name of the probed member, so that another process that has taken over its address does not answer
     */
    public record Ping(long sequence, String target) implements Body {
        @Override
        public void accept(Visitor visitor) {
            visitor.visit(this);
        }
    }

    /**
     * Answers a {@link Ping}, or a {@link PingRequest} whose target has answered.
     *
     * @param sequence number of the probe
     */
    public record Ack(long sequence) implements Body {
        @Override
        public void accept(Visitor visitor) {
            visitor.visit(this);
        }
    }

    /**
     * Answers a {@link PingRequest} whose target has not answered: the relay is reachable, the target may not be.
     *
     * @param sequence number of the probe
     */
    public record Nack(long sequence) implements Body {
        @Override
        public void accept(Visitor visitor) {
            visitor.visit(this);
        }
    }

    /**
     * Asks the receiver to probe a third member (SWIM's ping-req).
     *
     * @param sequence number of the probe
     * @param target name of the member to probe
     * @param address its address, as host:port
     */
    public record PingRequest(long sequence, String target, String address) implements Body {
        @Override
        public void accept(Visitor visitor) {
            visitor.visit(this);
        }
    }

    /**
     * Starts a round of anti-entropy: a receiver whose digest differs sends its state and requests the sender's.
     *
     * @param digest digest of the sender's whole state
     */
    public record CompareDigests(long digest) implements Body {
        @Override
        public void accept(Visitor visitor) {
            visitor.visit(this);
        }
    }

    /** Requests the receiver's whole state, which is sent as {@link GossipOnly} messages. */
    public record FetchUpdates() implements Body {
        @Override
        public void accept(Visitor visitor) {
            visitor.visit(this);
        }
    }

    /** Carries gossip updates and nothing else. */
    public record GossipOnly() implements Body {
        @Override
        public void accept(Visitor visitor) {
            visitor.visit(this);
        }
    }
}
