package mintstair.front;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import mintstair.config.Env;
import mintstair.config.Json;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.Hosts;
import mintstair.proxy.Loop;
import mintstair.request.HostList;
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
    private static final class Mute implements Hosts {
        @Override
        public Sent send(String host, Statement statement, long writeBy, long until, Receiver end) {
            return () -> {};
        }

        @Override
        public void probe(String host, Receiver end) {}

        @Override
        public void listed(HostList list) {}

        @Override
        public void turnBack() {}
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
        Env env = new Env((Map<?, ?>)
                Json.read(Program.SETTINGS.replace("PROBING", "false").getBytes(UTF_8)));
        Counters counters = new Counters();
        try (Loop loop = new Loop()) {
            Dispatcher dispatcher =
                    new Dispatcher(loop, new RequestRouter(loop.now(), 1, env), new Mute(), counters, line -> {});
            HostList.Entry primary = new HostList.Entry("p", "127.0.0.1:9", "z", 1, HostList.State.SERVING, true, 1, 0);
            loop.execute(() -> dispatcher.listed(new HostList(1, true, List.of(primary)), false));
            PgFront front = new PgFront(loop, dispatcher, transport, counters, 10);
            int port = front.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            for (int i = 0; i < 20; i++) {
                letGoUnderWay(loop, front, counters, port, "w" + i);
            }
        } finally {
            transport.shutdownNow();
        }
    }

    private static void letGoUnderWay(Loop loop, Front front, Counters counters, int port, String id) throws Exception {
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
            long taken = counters.taken;
            blocked.countDown();
            String answer = client.answer();
            assertEquals(
                    true, counters.taken > taken && !answer.equals("nothing"), "taken and cut off without an answer");
        } catch (IOException e) {
            throw new AssertionError("cut off", e);
        }
    }
}
