import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import mintstair.store.Store;
import org.bson.BsonDocument;
import org.bson.BsonInt32;

/**
 * A member of the store is killed and starts from nothing, after the daemons have written their state for some hours. Its
 * second front has to go on with the hosts that the members agreed on: one of the operator's file drains since.
 */
final class Case7 {
    private static final int MEMBERS = 3;
    private static final int LAST = MEMBERS - 1;
    /** What three daemons write in 17 hours, each twice a minute: the counters of two fronts. */
    private static final int STATE_WRITES = 6_000;

    private static final int STATE_CHARS = 2_000;
    private static final int WRITERS = 6;
    /** The time in which the store agrees again, and the grace of a drain with its slack. */
    private static final long AGREED_MILLIS = 5_000 + 1_050;

    private Case7() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        AtomicInteger lateAtDraining = new AtomicInteger();
        AtomicInteger lateAtCurrent = new AtomicInteger();
        AtomicLong judgedFrom = new AtomicLong(Long.MAX_VALUE);
        Mongo.Host.Handler serve = (host, command) -> {
            rig.note(host.name + " gets " + command.getFirstKey() + " " + Mongo.id(command));
            if (rig.ms() >= judgedFrom.get()) {
                (host.name.equals("mdb-old") ? lateAtDraining : lateAtCurrent).incrementAndGet();
            }
            return new BsonDocument("ok", new BsonInt32(1)).append("n", new BsonInt32(1));
        };
        Mongo.Host draining = new Mongo.Host("mdb-old", true, serve);
        Mongo.Host current = new Mongo.Host("mdb-new", true, serve);
        String operatorList = Rig.list(1, Rig.target("mdb-old", draining.port, 1, "SERVING", true));
        String agreedList = Rig.list(
                2,
                Rig.target("mdb-old", draining.port, 1, "DRAINING", false),
                Rig.target("mdb-new", current.port, 1, "SERVING", true));
        Discovery discovery = new Discovery("");
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < MEMBERS; i++) {
            int port = Rig.freePort();
            addresses.put("n" + i, new InetSocketAddress("127.0.0.1", port));
            members.append(i == 0 ? "" : ",").append("\"n" + i + "\":\"127.0.0.1:" + port + "\"");
        }
        int[] control = new int[MEMBERS];
        int[] mongo = new int[MEMBERS];
        Path[] config = new Path[MEMBERS];
        Path[] operator = new Path[MEMBERS];
        Path[] folder = new Path[MEMBERS];
        List<Rig.Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            control[i] = Rig.freePort();
            mongo[i] = Rig.freePort();
            folder[i] = rig.folder.resolve("store-" + i);
            config[i] = rig.write(
                    "config-" + i + ".json",
                    rig.config("n" + i, Rig.freePort(), control[i], discovery.port, Rig.list(1), Rig.settings(MEMBERS)));
            operator[i] = rig.write(
                    "operator-" + i + ".json",
                    "{\"mongodb\":{\"listen\":\"127.0.0.1:" + mongo[i] + "\",\"hosts\":" + operatorList + "},\"store\":{\"member\":\"n" + i
                            + "\",\"members\":{" + members + "},\"folder\":\"" + folder[i] + "\"}}");
            proxies.add(rig.start("n" + i, config[i], control[i], operator[i]));
        }
        for (Rig.Proxy proxy : proxies) {
            if (!proxy.awaitReady(20_000)) {
                Rig.end(rig, 2, "a member was not ready");
            }
        }
        String put = rig.command(new byte[0], "store", operator[0].toString(), "put", "config/mongodb/hosts", agreedList);
        rig.note("put config/mongodb/hosts: " + put);
        if (!put.startsWith("0")) {
            Rig.end(rig, 2, "the store did not take the list");
        }
        Thread.sleep(2_500);
        writeState(rig, addresses);

        if (Rig.TROUBLE) {
            Rig.Proxy killed = proxies.get(LAST);
            killed.signal("KILL");
            killed.process.waitFor();
            try (Stream<Path> files = Files.walk(folder[LAST])) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
            rig.note("n2 starts from nothing");
            Rig.Proxy again = rig.start("n2-again", config[LAST], control[LAST], operator[LAST]);
            proxies.set(LAST, again);
            if (!again.awaitReady(20_000)) {
                Rig.end(rig, 1, "the member does not start from nothing");
            }
        }
        long ready = rig.ms();
        judgedFrom.set(ready + AGREED_MILLIS);
        for (int number = 0; rig.ms() < ready + AGREED_MILLIS + 10_000; number++) {
            String id = "after-" + number;
            try (Mongo.Client client = new Mongo.Client(mongo[LAST])) {
                rig.note("client gets for " + id + ": " + client.ask(Mongo.insert(id, 1, 2000), 3000).toJson());
            } catch (IOException e) {
                rig.note("client: " + id + " " + e);
            }
            Thread.sleep(50);
        }
        String seen = "later than " + AGREED_MILLIS + " ms after n2 was ready, the host that drains by the agreed list got "
                + lateAtDraining + " writes from it, and the host in its place " + lateAtCurrent;
        if (lateAtDraining.get() + lateAtCurrent.get() == 0) {
            Rig.end(rig, 2, seen);
        }
        Rig.end(rig, lateAtDraining.get() > 0 ? 1 : 0, seen);
    }

    /** Writes what the daemons write, in less time. */
    private static void writeState(Rig rig, Map<String, InetSocketAddress> addresses) throws Exception {
        AtomicInteger left = new AtomicInteger(STATE_WRITES);
        AtomicInteger failed = new AtomicInteger();
        String counters = "x".repeat(STATE_CHARS);
        ExecutorService writers = Executors.newFixedThreadPool(WRITERS);
        for (int w = 0; w < WRITERS; w++) {
            String key = "state/daemon-" + w % MEMBERS;
            writers.execute(() -> {
                try (Store store = Store.createClient(addresses)) {
                    for (int n = left.getAndDecrement(); n > 0; n = left.getAndDecrement()) {
                        store.put(key, n + " " + counters);
                    }
                } catch (IOException e) {
                    failed.incrementAndGet();
                    rig.note("a write of state failed: " + e);
                }
            });
        }
        writers.shutdown();
        boolean done = writers.awaitTermination(60, TimeUnit.SECONDS);
        rig.note("state was written " + STATE_WRITES + " times, failed " + failed);
        if (!done || failed.get() > 0) {
            Rig.end(rig, 2, "the state could not be written");
        }
    }
}
