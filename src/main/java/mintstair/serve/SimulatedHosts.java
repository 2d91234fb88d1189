package mintstair.serve;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mintstair.backend.Protocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.proxy.Backend;
import mintstair.proxy.EventLoop;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReply;
import mintstair.request.Statement;
import mintstair.wire.Framer;
import mintstair.wire.PgWriter;

/**
 * Simulates the database hosts of the {@link WarmUp} in memory. They reply at once. Some requests are rejected as
 * misdirected and some lose their connection, so that these code paths are warmed up as well. Confined to the event
 * loop.
 */
final class SimulatedHosts implements Backend {
    private static final int HOSTS = 3;
    private static final String PRIMARY = "r0";
    private static final int REQUESTS_PER_MISDIRECTED = 20;
    private static final int REQUESTS_PER_LOST_CONNECTION = 50;
    private static final byte[] MISDIRECTED =
            new PgWriter().error("ERROR", "25006", "no primary", null).ready().bytes();

    private final EventLoop loop;
    private final Protocol protocol = new PgProtocol();
    private int requestCount;

    SimulatedHosts(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns the endpoint list of the simulated hosts. */
    static EndpointList list() {
        List<EndpointList.Entry> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            String name = "r" + i;
            hosts.add(new EndpointList.Entry(
                    name, "127.0.0.1:" + i, "z", 1, EndpointList.State.SERVING, PRIMARY.equals(name), 1, 0));
        }
        return new EndpointList(1, true, hosts);
    }

    @Override
    public Attempt send(
            String host, Statement statement, long writeByMicros, long abandonAtMicros, AttemptListener listener) {
        statement.encode(abandonAtMicros - loop.now());
        requestCount++;
        boolean losesConnection = requestCount % REQUESTS_PER_LOST_CONNECTION == 0;
        loop.execute(() -> {
            if (losesConnection) {
                listener.onEnd(HostReply.of(ConnectionEnd.BROKEN_AFTER_WRITTEN));
                return;
            }
            // The count at the time of the reply: requests in flight at the same time are misdirected together.
            boolean isMisdirected = requestCount % REQUESTS_PER_MISDIRECTED == 0;
            listener.onEnd(parse(isMisdirected ? MISDIRECTED : row(host, "rehearsed")));
        });
        return () -> {};
    }

    @Override
    public void sendHealthCheck(String host, AttemptListener listener) {
        loop.execute(() -> {
            int role = host.equals(PRIMARY) ? 1 : 0;
            String report = "inflight=1,util=0.5,x0=" + loop.now() / 1e6 + ",x1=" + role;
            HostReply reply = parse(row(host, report));
            listener.onEnd(new HostReply(reply.end(), null, protocol.decodeReport(reply.body())));
        });
    }

    @Override
    public void endpointsUpdated(EndpointList list) {
        // Simulated hosts have no connections.
    }

    @Override
    public void failQueuedForUnavailableHosts() {
        // No request is ever queued.
    }

    private HostReply parse(byte[] bytes) {
        Framer framer = protocol.newFramer();
        Protocol.Parser parser = protocol.newParser();
        framer.feed(ByteBuffer.wrap(bytes));
        HostReply reply = null;
        while (reply == null) {
            reply = parser.parse(framer.next());
        }
        return reply;
    }

    /** Returns the reply of a host: one row with one column, and the host's replication status. */
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
}
