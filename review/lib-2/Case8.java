import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bson.BsonDocument;
import org.bson.BsonInt32;

/**
 * An upgrade of one of three members of the store, by the steps of the on-call page. Its second front has the hosts that
 * the members agreed on: one of the operator's file drains since.
 */
final class Case8 {
    private static final int MEMBERS = 3;
    private static final long DRAIN_GRACE_MILLIS = 1_050;

    private Case8() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        AtomicLong lastAtDraining = new AtomicLong(-1);
        AtomicInteger lateAtDraining = new AtomicInteger();
        AtomicLong toldAt = new AtomicLong(Long.MAX_VALUE);
        Mongo.Host.Handler serve = (host, command) -> {
            long now = rig.ms();
            rig.note(host.name + " gets " + command.getFirstKey() + " " + Mongo.id(command));
            if (host.name.equals("mdb-old")) {
                lastAtDraining.set(now);
                if (now - toldAt.get() > DRAIN_GRACE_MILLIS) {
                    lateAtDraining.incrementAndGet();
                }
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
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < MEMBERS; i++) {
            members.append(i == 0 ? "" : ",").append("\"n" + i + "\":\"127.0.0.1:" + Rig.freePort() + "\"");
        }
        int[] listen = new int[MEMBERS];
        int[] mongo = new int[MEMBERS];
        Path[] operator = new Path[MEMBERS];
        List<Rig.Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            int control = Rig.freePort();
            listen[i] = Rig.freePort();
            mongo[i] = Rig.freePort();
            Path config = rig.write(
                    "config-" + i + ".json",
                    rig.config("n" + i, listen[i], control, discovery.port, Rig.list(1), Rig.settings(MEMBERS)));
            operator[i] = rig.write(
                    "operator-" + i + ".json",
                    "{\"mongodb\":{\"listen\":\"127.0.0.1:" + mongo[i] + "\",\"hosts\":" + operatorList + "},\"store\":{\"member\":\"n" + i
                            + "\",\"members\":{" + members + "},\"folder\":\"" + rig.folder.resolve("store-" + i) + "\"}}");
            proxies.add(rig.start("n" + i, config, control, operator[i]));
        }
        for (Rig.Proxy proxy : proxies) {
            if (!proxy.awaitReady(20_000)) {
                Rig.end(rig, 2, "a member was not ready");
            }
        }
        String put = rig.command(new byte[0], "store", operator[0].toString(), "put", "config/mongodb/hosts", agreedList);
        rig.note("put config/mongodb/hosts: " + put);
        for (int tries = 0; !answersFrom(rig, mongo[0], "before-" + tries, lastAtDraining); tries++) {
            if (tries == 100) {
                Rig.end(rig, 2, "the agreed list was not taken over");
            }
            Thread.sleep(100);
        }
        toldAt.set(rig.ms());
        rig.note("the proxy acts on the agreed list: it was told that mdb-old drains");
        Thread.sleep(2_000);

        Rig.Proxy successor = null;
        if (Rig.TROUBLE) {
            int control = Rig.freePort();
            Path config = rig.write(
                    "config-new.json", rig.config("n0", listen[0], control, discovery.port, Rig.list(1), Rig.settings(MEMBERS)));
            successor = rig.start("n0-new", config, control, operator[0]);
        }
        long startedAt = rig.ms();
        boolean ready = successor == null;
        int number = 0;
        while (rig.ms() - startedAt < 8_000) {
            try (Mongo.Client client = new Mongo.Client(mongo[0])) {
                String id = "during-" + number++;
                rig.note("client gets for " + id + ": " + client.ask(Mongo.insert(id, 1, 2000), 3000).toJson());
            } catch (IOException e) {
                rig.note("client: " + e);
            }
            if (!ready && rig.ms() - startedAt < 6_000) {
                ready = successor.isReady();
            }
            Thread.sleep(20);
        }
        boolean ended = successor != null && !successor.process.isAlive();
        String seen = ready && !ended
                ? "the process that takes over runs"
                : "the new process " + (ended ? "has ended with status " + successor.process.exitValue() : "is not ready");
        seen += "; writes that a host got over 1.05 s after the proxy was told that it drains: " + lateAtDraining + " of " + number;
        Rig.end(rig, ready && !ended && lateAtDraining.get() == 0 ? 0 : 1, seen);
    }

    /** Whether a write goes to the host that the agreed list has in place of the one that drains. */
    private static boolean answersFrom(Rig rig, int port, String id, AtomicLong lastAtDraining) throws IOException {
        long before = rig.ms();
        try (Mongo.Client client = new Mongo.Client(port)) {
            rig.note("client gets for " + id + ": " + client.ask(Mongo.insert(id, 1, 2000), 3000).toJson());
        }
        return lastAtDraining.get() < before;
    }
}
