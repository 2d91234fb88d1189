package mintstair.serve;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mintstair.config.InstanceSettings;
import mintstair.front.Front;
import mintstair.front.RequestRules;
import mintstair.front.pg.PgStatement;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.routing.RequestRouter;
import mintstair.stats.Counters;
import mintstair.wire.PgWriter;

/**
 * Warms up the JIT compiler before clients are accepted: processes simulated requests with a separate router and {@link
 * SimulatedHosts}. Code that has not been compiled is about ten times slower; the first clients would queue, time out
 * and retry, and the router would rate the hosts as slow. Neither real hosts nor the serving router are affected.
 */
final class WarmUp {
    /** The longest time by which the warm-up delays the start. */
    private static final Duration TIMEOUT = Duration.ofMillis(2_500);
    /**
     * The bounds of the number of simulated requests. A proxy of a small fleet gets many clients right after its start.
     * A proxy of a large fleet gets few, and a longer start would make more proxies unavailable at the same time when
     * all of them are upgraded.
     */
    private static final int MAX_REQUESTS = 2_000;

    private static final int MIN_REQUESTS = 250;
    private static final int FLEET_REQUESTS = 4_000;
    private static final int CONCURRENT_REQUESTS = 8;
    /** One client connection to the front is opened for each of this many simulated requests. */
    private static final int REQUESTS_PER_CONNECTION = 133;

    private static final int MIN_CONNECTIONS = 3;
    private static final int QUERIES_PER_CONNECTION = 20;
    private static final int READ_TIMEOUT_MILLIS = 500;
    private static final int PROTOCOL_VERSION = 196608;
    /** The size of the length field of a PostgreSQL message, which is included in the length. */
    private static final int LENGTH_FIELD_BYTES = 4;

    private static final long SEED = 1;

    private final EventLoop loop;
    private final RequestRules rules;
    private final Dispatcher dispatcher;
    private final List<String> classes;
    private final CountDownLatch done = new CountDownLatch(CONCURRENT_REQUESTS);
    /** The number of requests that are still to be submitted; confined to the loop. */
    private int remaining;

    private WarmUp(EventLoop loop, InstanceSettings settings) {
        this.loop = loop;
        classes = new ArrayList<>(settings.classIndexes.keySet());
        remaining = requestCount(settings.fleetSize);
        RequestRouter router = new RequestRouter(loop.now(), SEED, settings);
        dispatcher = new Dispatcher(loop, router, new SimulatedHosts(loop), new Counters(), line -> {});
        rules = new RequestRules(dispatcher);
    }

    /** Returns the number of simulated requests for a fleet of this size. */
    static int requestCount(int fleetSize) {
        return Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, FLEET_REQUESTS / Math.max(1, fleetSize)));
    }

    /**
     * Warms up a front, which listens on a free port in the meantime: on the port for clients a predecessor may still
     * serve.
     */
    static void run(InstanceSettings settings, InetSocketAddress clientAddress, Front front) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(clientAddress.getAddress(), 0);
        int port = SocketRetry.retry(() -> front.listen(anyPort));
        run(settings, new InetSocketAddress(clientAddress.getAddress(), port), TIMEOUT);
        front.stopListening();
    }

    /**
     * Simulates requests and queries the front at this address.
     *
     * @return whether all requests were completed before the timeout
     */
    static boolean run(InstanceSettings settings, InetSocketAddress front, Duration timeout) {
        long endNanos = System.nanoTime() + timeout.toNanos();
        try (EventLoop loop = new EventLoop()) {
            WarmUp warmUp = new WarmUp(loop, settings);
            loop.execute(warmUp::begin);
            int connections = Math.max(MIN_CONNECTIONS, requestCount(settings.fleetSize) / REQUESTS_PER_CONNECTION);
            queryFront(front, connections, endNanos);
            return warmUp.done.await(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void begin() {
        dispatcher.endpointsUpdated(SimulatedHosts.list(), false);
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            submitNext();
        }
    }

    private void submitNext() {
        if (remaining-- <= 0) {
            done.countDown();
            return;
        }
        String statement = statement(remaining);
        dispatcher.submit(PgStatement.parse(statement, rules), 0, response -> loop.execute(this::submitNext));
    }

    private String statement(int number) {
        String requestClass = classes.get(number % classes.size());
        String query = dispatcher.classes().isWrite(requestClass)
                ? "INSERT INTO entries (ref, payload) VALUES ('7f" + number + "', '\\x9f') RETURNING payload"
                : "SELECT payload FROM entries WHERE ref = '7f" + number + "'";
        String session = number % 2 == 0 ? "" : ",after=" + (loop.now() / 1000 - 50);
        return query + " /* id=r" + number + ",c=" + requestClass + ",d=900,cluster=1" + session + " */";
    }

    /**
     * Sends queries that the front answers itself. Errors are ignored: a front that fails here also fails for clients,
     * where the failure is reported.
     */
    private static void queryFront(InetSocketAddress front, int connections, long endNanos) {
        byte[] startup = new PgWriter()
                .packet(PROTOCOL_VERSION, "user", "web", "database", "orders", "")
                .bytes();
        byte[] query = new PgWriter().message('Q', "SHOW counters").bytes();
        for (int i = 0; i < connections && System.nanoTime() < endNanos; i++) {
            try (Socket client = new Socket(front.getAddress(), front.getPort())) {
                client.setTcpNoDelay(true);
                client.setSoTimeout(READ_TIMEOUT_MILLIS);
                DataInputStream in = new DataInputStream(client.getInputStream());
                client.getOutputStream().write(startup);
                readUntilReady(in);
                for (int sent = 0; sent < QUERIES_PER_CONNECTION && System.nanoTime() < endNanos; sent++) {
                    client.getOutputStream().write(query);
                    readUntilReady(in);
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Reads messages up to ReadyForQuery. */
    private static void readUntilReady(DataInputStream in) throws IOException {
        int type = 0;
        while (type != 'Z') {
            type = in.readByte();
            in.readNBytes(in.readInt() - LENGTH_FIELD_BYTES);
        }
    }
}
