package mintstair.wire;

import java.net.InetSocketAddress;

/** Captures the traffic of connections. Its methods are called on the event loop and must not block. */
public interface Recorder {
    /** The capture of one connection. */
    interface Conversation {
        /** Captures nothing. */
        Conversation NONE = new Conversation() {
            @Override
            public void record(boolean fromClient, byte[] bytes) {}

            @Override
            public void ended() {}
        };

        /**
         * Captures bytes of one side, in order.
         *
         * @param fromClient whether the side that made the connection sent them
         */
        void record(boolean fromClient, byte[] bytes);

        /** Notes that the connection is over. */
        void ended();
    }

    /** Captures nothing. */
    Recorder NONE = (client, server) -> Conversation.NONE;

    /** Begins to capture a connection that {@code client} made to {@code server}. */
    Conversation begin(InetSocketAddress client, InetSocketAddress server);
}
