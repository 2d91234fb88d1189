package mintstair.front;

import java.net.InetSocketAddress;

/** Keeps what clients say and hear. */
public interface Recorder {
    /** One connection as it goes on. */
    interface Conversation {
        Conversation NONE = new Conversation() {
            @Override
            public void said(boolean byClient, byte[] bytes) { }

            @Override
            public void ended() { }
        };

        void said(boolean byClient, byte[] bytes);

        void ended();
    }

    Conversation begin(InetSocketAddress client, InetSocketAddress proxy);
}
