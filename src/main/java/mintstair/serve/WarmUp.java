package mintstair.serve;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mintstair.backend.Protocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.InstanceSettings;
import mintstair.front.RequestRules;
import mintstair.front.pg.PgStatement;
import mintstair.proxy.Backend;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.request.Statement;
import mintstair.routing.RequestRouter;
import mintstair.stats.Counters;
import mintstair.wire.Framer;
import mintstair.wire.PgWriter;

/**
 * Runs the path of a request before clients come, with a router and hosts of its own that live in memory. Code that
 * runs for the first time is some ten times slower: clients that meet it pile up, give up and come again, and the
 * router takes the hosts for slow. Nothing of it reaches a host, nor the router that serves.
 */
final class WarmUp {
    /**
     * Requests are rehearsed for one proxy of a few, which meets a crowd at its start; each of many meets a small part of it,
     * and a start that takes longer keeps more of them away together after a release.
     */
    private static final int REQUESTS_MOST = 2_000;

    private static final int REQUESTS_LEAST = 250;
    private static final int REQUESTS_OF_ALL = 4_000;
    private static final int AT_ONCE = 8;
    /** So many requests are rehearsed for each connection that is made to the front. */
    private static final int A_CLIENT = 133;

    private static final int QUERIES = 20;
    private static final String PRIMARY = "r0";
    private static final byte[] MISS =
            new PgWriter().error("ERROR", "25006", "no primary", null).ready().bytes();

    private final EventLoop loop = new EventLoop();
    private final Protocol protocol = new PgProtocol();
    private final RequestRules rules;
    private final Dispatcher dispatcher;
    private final List<String> classes;
    private final CountDownLatch done = new CountDownLatch(AT_ONCE);
    private int left;

    private WarmUp(InstanceSettings env) {
        classes = new ArrayList<>(env.classes.keySet());
        left = requests(env.fleetSize);
        dispatcher =
                new Dispatcher(loop, new RequestRouter(loop.now(), 1, env), new Scripted(), new Counters(), line -> {});
        rules = new RequestRules(dispatcher);
    }

    /** How many requests are rehearsed where so many proxies share the clients. */
    static int requests(int proxies) {
        return Math.max(REQUESTS_LEAST, Math.min(REQUESTS_MOST, REQUESTS_OF_ALL / Math.max(1, proxies)));
    }

    /** Runs requests for {@code millis} at most, and asks the front that listens here; tells whether all came through. */
    static boolean run(InstanceSettings env, InetSocketAddress front, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        WarmUp rehearsal = new WarmUp(env);
        try (EventLoop loop = rehearsal.loop) {
            loop.execute(rehearsal::begin);
            askFront(front, Math.max(3, requests(env.fleetSize) / A_CLIENT), end);
            return rehearsal.done.await(end - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void begin() {
        List<EndpointList.Entry> hosts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            hosts.add(new EndpointList.Entry(
                    "r" + i, "127.0.0.1:" + i, "z", 1, EndpointList.State.SERVING, PRIMARY.equals("r" + i), 1, 0));
        }
        dispatcher.listed(new EndpointList(1, true, hosts), false);
        for (int i = 0; i < AT_ONCE; i++) {
            next();
        }
    }

    private void next() {
        if (left-- <= 0) {
            done.countDown();
            return;
        }
        String kind = classes.get(left % classes.size());
        String head = dispatcher.classes().isWrite(kind)
                ? "INSERT INTO entries (ref, payload) VALUES ('7f" + left + "', '\\x9f') RETURNING payload"
                : "SELECT payload FROM entries WHERE ref = '7f" + left + "'";
        String after = left % 2 == 0 ? "" : ",after=" + (loop.now() / 1000 - 50);
        dispatcher.submit(
                PgStatement.parse(head + " /* id=r" + left + ",c=" + kind + ",d=900,cluster=1" + after + " */", rules),
                0,
                answer -> loop.execute(this::next));
    }

    /** Hosts that answer at once, some with a miss; one request in fifty is lost. */
    private final class Scripted implements Backend {
        private int sent;

        @Override
        public Attempt send(String host, Statement statement, long writeBy, long until, AttemptListener end) {
            statement.encode(until - loop.now());
            sent++;
            boolean lost = sent % 50 == 0;
            loop.execute(() -> end.end(
                    lost
                            ? HostReply.of(ConnectionEnd.BROKEN_AFTER_WRITTEN)
                            : read(sent % 20 == 0 ? MISS : row(host, "rehearsed"))));
            return () -> {};
        }

        @Override
        public void probe(String host, AttemptListener end) {
            loop.execute(() -> {
                HostReply reply = read(row(
                        host, "inflight=1,util=0.5,x0=" + loop.now() / 1e6 + ",x1=" + (host.equals(PRIMARY) ? 1 : 0)));
                end.end(new HostReply(reply.end(), null, protocol.report(reply.body())));
            });
        }

        @Override
        public void listed(EndpointList list) {}

        @Override
        public void failQueuedForUnavailable() {}

        private HostReply read(byte[] bytes) {
            Framer framer = protocol.newFramer();
            Protocol.Parser parser = protocol.newParser();
            framer.feed(ByteBuffer.wrap(bytes));
            HostReply reply = null;
            while (reply == null) {
                reply = parser.take(framer.next());
            }
            return reply;
        }
    }

    private byte[] row(String host, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', bytes.length, bytes)
                .message('C', "SELECT 1")
                .message('S', "rank", host.equals(PRIMARY) ? "source" : "copy")
                .message('S', "as_of", Long.toString(loop.now() / 1000))
                .ready()
                .bytes();
    }

    /** As its own client, with questions that go to no host; what fails here, fails for clients too, and is told there. */
    private static void askFront(InetSocketAddress front, int clients, long end) {
        byte[] startup = new PgWriter()
                .packet(196608, "user", "web", "database", "orders", "")
                .bytes();
        byte[] query = new PgWriter().message('Q', "SHOW counters").bytes();
        for (int i = 0; i < clients && System.nanoTime() < end; i++) {
            try (Socket client = new Socket(front.getAddress(), front.getPort())) {
                client.setTcpNoDelay(true);
                client.setSoTimeout(500);
                DataInputStream in = new DataInputStream(client.getInputStream());
                client.getOutputStream().write(startup);
                readToReady(in);
                for (int q = 0; q < QUERIES && System.nanoTime() < end; q++) {
                    client.getOutputStream().write(query);
                    readToReady(in);
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void readToReady(DataInputStream in) throws IOException {
        int type = 0;
        while (type != 'Z') {
            type = in.readByte();
            in.readNBytes(in.readInt() - 4);
        }
    }
}
