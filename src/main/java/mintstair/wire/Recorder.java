package mintstair.wire;

import java.net.InetSocketAddress;

/** Keeps what is said on connections; its calls must not block. */
public interface Recorder {
    /** One connection as it goes on. */
    interface Conversation {
        Conversation NONE = new Conversation() {
            @Override
            public void said(boolean byClient, byte[] bytes) {}

            @Override
            public void ended() {}
        };

        /** Bytes of one side, in order; {@code byClient} where the side that made the connection said them. */
        void said(boolean byClient, byte[] bytes);

        void ended();
    }

    /** Records nothing. */
    Recorder NONE = (client, server) -> Conversation.NONE;

    /** A connection that {@code client} made to {@code server}. */
    Conversation begin(InetSocketAddress client, InetSocketAddress server);
}
