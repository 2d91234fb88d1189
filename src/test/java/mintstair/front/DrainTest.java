package mintstair.front;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.Backend;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.request.Statement;
import mintstair.routing.RequestRouter;
import mintstair.standin.Client;
import mintstair.stats.Counters;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.Test;

/** A front that lets its clients go. */
class DrainTest {
    /** Hosts that take everything and never answer. */
    private static final class Mute implements Backend {
        @Override
        public Attempt send(String host, Statement statement, long writeBy, long until, AttemptListener end) {
            return () -> {};
        }

        @Override
        public void probe(String host, AttemptListener end) {}

        @Override
        public void listed(EndpointList list) {}

        @Override
        public void failQueuedForUnavailable() {}
    }

    /**
     * Guards against a write that runs twice: a request that was read, and is on its way to the loop when its connection is let
     * go, would be sent on and then cut off without an answer; its client sends it again elsewhere.
     */
    @Test
    void aRequestOnItsWayToTheLoopIsNotCutOff() throws Exception {
        TCPNIOTransport transport =
                TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
        transport.start();
        InstanceSettings env = new InstanceSettings((Map<?, ?>)
                Json.read(Program.SETTINGS.replace("PROBING", "false").getBytes()));
        Counters counters = new Counters();
        try (EventLoop loop = new EventLoop()) {
            Dispatcher dispatcher =
                    new Dispatcher(loop, new RequestRouter(loop.now(), 1, env), new Mute(), counters, line -> {});
            EndpointList.Entry primary =
                    new EndpointList.Entry("p", "127.0.0.1:9", "z", 1, EndpointList.State.SERVING, true, 1, 0);
            loop.execute(() -> dispatcher.endpointsUpdated(new EndpointList(1, true, List.of(primary)), false));
            PgFront front = new PgFront(loop, dispatcher, transport, counters, 10);
            int port = front.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            for (int i = 0; i < 20; i++) {
                letGoUnderWay(loop, front, counters, port, "w" + i);
            }
        } finally {
            transport.shutdownNow();
        }
    }

    private static void letGoUnderWay(EventLoop loop, Front front, Counters counters, int port, String id)
            throws Exception {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(Client.Pg.query(""));
            assertEquals("empty", client.answer());
            Program.await(() -> front.unread.get() == 0, "all looked at");
            CountDownLatch blocked = new CountDownLatch(1);
            loop.execute(() -> {
                try {
                    blocked.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            loop.execute(front::drain);
            client.send(true, "id=" + id + ",c=write,cluster=1", 300);
            Program.await(() -> front.unread.get() > 0, "the network thread to have read it");
            long taken = counters.requestsAccepted();
            blocked.countDown();
            String answer = client.answer();
            assertEquals(
                    true,
                    counters.requestsAccepted() > taken && !answer.equals("nothing"),
                    "taken and cut off without an answer");
        } catch (IOException e) {
            throw new AssertionError("cut off", e);
        }
    }
}
