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
 * JIT warm-up: runs the path of a request before clients are accepted, with a router of its own and {@link
 * SimulatedHosts}. Code that runs for the first time is some ten times slower; clients that meet it queue up, time
 * out and retry, and the router takes the hosts for slow. Nothing of it reaches a host, nor the router that serves.
 */
final class WarmUp {
    /** The warm-up takes no longer than this before clients are accepted. */
    private static final Duration TIMEOUT = Duration.ofMillis(2_500);
    /**
     * Bounds of the number of simulated requests. One proxy of a few meets many clients at its start; one of many
     * meets a small part of them, and after a release of all proxies a longer start would keep more of them away
     * together.
     */
    private static final int MAX_REQUESTS = 2_000;

    private static final int MIN_REQUESTS = 250;
    private static final int REQUESTS_OF_FLEET = 4_000;
    private static final int CONCURRENT_REQUESTS = 8;
    /** One connection is made to the front for so many simulated requests. */
    private static final int REQUESTS_PER_CONNECTION = 133;

    private static final int MIN_CONNECTIONS = 3;
    private static final int QUERIES_PER_CONNECTION = 20;
    private static final int READ_TIMEOUT_MILLIS = 500;
    private static final int PROTOCOL_VERSION = 196608;
    /** The header of a message of PostgreSQL's protocol: its length counts itself. */
    private static final int LENGTH_BYTES = 4;

    private static final long SEED = 1;

    private final EventLoop loop;
    private final RequestRules rules;
    private final Dispatcher dispatcher;
    private final List<String> classes;
    private final CountDownLatch done = new CountDownLatch(CONCURRENT_REQUESTS);
    /** Requests that are still to be submitted; on the loop. */
    private int remaining;

    private WarmUp(EventLoop loop, InstanceSettings settings) {
        this.loop = loop;
        classes = new ArrayList<>(settings.classIndexes.keySet());
        remaining = requestCount(settings.fleetSize);
        RequestRouter router = new RequestRouter(loop.now(), SEED, settings);
        dispatcher = new Dispatcher(loop, router, new SimulatedHosts(loop), new Counters(), line -> {});
        rules = new RequestRules(dispatcher);
    }

    /** How many requests are simulated where so many proxies share the clients. */
    static int requestCount(int fleetSize) {
        return Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, REQUESTS_OF_FLEET / Math.max(1, fleetSize)));
    }

    /**
     * Warms up a front, which listens on a free port of the clients' host meanwhile: on the clients' own address a
     * predecessor may still serve.
     */
    static void run(InstanceSettings settings, InetSocketAddress clientAddress, Front front) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(clientAddress.getAddress(), 0);
        int port = SocketRetry.retry(() -> front.listen(anyPort));
        run(settings, new InetSocketAddress(clientAddress.getAddress(), port), TIMEOUT);
        front.stopListening();
    }

    /**
     * Simulates requests and queries the front at this address; returns whether all requests ended before the
     * timeout.
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
     * Sends queries that the front answers itself. A front that fails here fails for clients too, and is reported
     * there.
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
            in.readNBytes(in.readInt() - LENGTH_BYTES);
        }
    }
}
