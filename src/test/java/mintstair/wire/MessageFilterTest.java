package mintstair.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

class MessageFilterTest {
    /** Guards against connections that are counted for good: one closed while it is let in must still be told closed. */
    @Test
    void listenerOfAConnectionThatIsClosedAlreadyIsToldSo() throws Exception {
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
        transport.start();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            Connection<?> connection = transport
                    .connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()))
                    .get(20, TimeUnit.SECONDS);
            connection.terminate().get(20, TimeUnit.SECONDS);
            CountDownLatch told = new CountDownLatch(1);
            new MessageFilter().listen(connection, new MessageFilter.Listener() {
                @Override
                public void read(ByteBuffer bytes) {}

                @Override
                public void closed() {
                    told.countDown();
                }
            });
            Assertions.assertTrue(told.await(20, TimeUnit.SECONDS));
        } finally {
            transport.shutdownNow();
        }
    }
}
