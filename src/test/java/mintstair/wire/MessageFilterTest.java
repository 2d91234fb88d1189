package mintstair.wire;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.Test;

class MessageFilterTest {
    /** Guards against connections that are counted forever because they were closed before their listener was set. */
    @Test
    void listenerOfAnAlreadyClosedConnectionIsNotifiedOfTheClose() throws Exception {
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
        transport.start();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            Connection<?> connection = transport
                    .connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()))
                    .get(20, TimeUnit.SECONDS);
            connection.terminate().get(20, TimeUnit.SECONDS);
            CountDownLatch notified = new CountDownLatch(1);

            new MessageFilter().listen(connection, new MessageFilter.Listener() {
                @Override
                public void read(ByteBuffer bytes) {}

                @Override
                public void closed() {
                    notified.countDown();
                }
            });

            assertTrue(notified.await(20, TimeUnit.SECONDS));
        } finally {
            transport.shutdownNow();
        }
    }
}
