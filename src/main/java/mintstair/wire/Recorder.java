package mintstair.wire;

import java.net.InetSocketAddress;

/** Captures the traffic of connections. All methods are called on the event loop and must not block. */
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
         * Captures bytes that one side sent. The bytes of each side are passed in the order in which they were sent.
         *
         * @param fromClient whether the bytes were sent by the side that opened the connection
         */
        void record(boolean fromClient, byte[] bytes);

        /** Records that the connection was closed. */
        void ended();
    }

    /** Captures nothing. */
    Recorder NONE = (client, server) -> Conversation.NONE;

    /** Starts to capture a connection that {@code client} opened to {@code server}. */
    Conversation begin(InetSocketAddress client, InetSocketAddress server);
}
