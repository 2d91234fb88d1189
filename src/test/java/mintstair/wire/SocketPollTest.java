package mintstair.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import mintstair.program.Program;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SocketPollTest {
    private SocketChannel peer;
    private SocketChannel channel;

    @BeforeEach
    void connect() throws IOException {
        try (ServerSocketChannel listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0))) {
            peer = SocketChannel.open(listener.getLocalAddress());
            channel = listener.accept();
        }
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        channel.close();
    }

    private void awaitState(boolean hasUnreadInput, boolean isClosedByPeer) {
        Optional<SocketState> expected = Optional.of(new SocketState(hasUnreadInput, isClosedByPeer));
        Program.await(() -> SocketPoll.of(channel).equals(expected), expected.toString());
    }

    @Test
    void idleConnectionIsOpenWithoutUnreadInput() {
        assertEquals(Optional.of(new SocketState(false, false)), SocketPoll.of(channel));
    }

    @Test
    void closeIsSeenBehindUnreadInput() throws IOException {
        peer.write(ByteBuffer.allocate(100));
        awaitState(true, false);
        peer.close();
        awaitState(true, true);
    }

    @Test
    void endOfOutputAndResetAreSeen() throws IOException {
        peer.shutdownOutput();
        awaitState(true, true);
        peer.setOption(StandardSocketOptions.SO_LINGER, 0);
        peer.close();
        awaitState(true, true);
    }

    @Test
    void channelThatWasClosedHereCountsAsClosed() throws IOException {
        channel.close();
        assertEquals(Optional.of(new SocketState(false, true)), SocketPoll.of(channel));
    }
}
