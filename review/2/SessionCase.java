import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;

/**
 * One proxy with the MongoDB front, one primary and two replicas, settings with remembered sessions. Players write a
 * move, get its answer, and read it a little later. While replicas apply the log more slowly, a read of a session must
 * still see what the session has written.
 */
public final class SessionCase {
    private static final int SESSIONS = 8;
    private static final long RUN_MILLIS = 30_000;
    /** The usual time from the primary to a replica. */
    private static final long USUAL_LAG_MILLIS = 10;
    /** From when on, and for how long, the replicas apply the log more slowly. */
    private static final long SLOW_FROM_MILLIS = 5_000;
    private static final long SLOW_FOR_MILLIS = 10_000;
    /** Their thread is busy for 0.35 of the time; 4.7 times slower it applies 1 s of the log in 1.65 s. */
    private static final double SLOW_PACE = 1 / (0.35 * 4.7);
    /** After it they apply what they missed as fast as they can. */
    private static final double USUAL_PACE = 1 / 0.35;

    private final Rig rig;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger writes = new AtomicInteger();
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicInteger stale = new AtomicInteger();
    private long startMillis;

    private SessionCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        int status = 2;
        try {
            status = new SessionCase(rig).run();
        } catch (IOException | RuntimeException e) {
            rig.say("could not run: " + e);
        }
        rig.exit(status);
    }

    private int run() throws Exception {
        startMillis = System.currentTimeMillis();
        MongoHost.Log log = new MongoHost.Log();
        MongoHost primary = new MongoHost(rig, "mdb-1", true, log, null);
        MongoHost first = new MongoHost(rig, "mdb-2", false, log, this::applied);
        MongoHost second = new MongoHost(rig, "mdb-3", false, log, this::applied);
        String hosts = primary.listed("SERVING") + "," + first.listed("SERVING") + "," + second.listed("SERVING");
        // The platform's front has hosts of its own, which nobody asks here.
        PgHost other = new PgHost(rig, "db-1", true, null);
        Discovery discovery = new Discovery(rig, other.listed("SERVING"));
        int port = Rig.freePort();
        String settings = Rig.settings().replace("\"sessionMarks\": \"carried\"", "\"sessionMarks\": \"remembered\"");
        Rig.Proxy proxy = rig.start(
                "n1",
                Rig.config("n1", Rig.freePort(), Rig.freePort(), discovery.port(), other.listed("SERVING"), settings),
                "{\"mongodb\":{\"listen\":\"127.0.0.1:" + port + "\",\"hosts\":{\"rev\":1,\"all\":true,\"targets\":["
                        + hosts + "]}}}");
        if (!proxy.await("serving on", 2, 20_000)) {
            return 2;
        }
        Rig.sleep(500);
        startMillis = System.currentTimeMillis();
        List<Thread> players = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            int player = i;
            players.add(Rig.daemon(() -> play(port, player)));
        }
        for (Thread player : players) {
            player.join();
        }
        rig.say(writes + " writes were answered as served, " + reads + " reads after them; " + stale
                + " of these reads did not see their session's last write");
        return writes.get() < 100 || reads.get() < 100 ? 2 : stale.get() > 0 ? 1 : 0;
    }

    /** Up to when a replica has applied the log. */
    private long applied(long nowMillis) {
        long usual = nowMillis - USUAL_LAG_MILLIS;
        long slowFrom = startMillis + SLOW_FROM_MILLIS;
        if (!Rig.TROUBLE || nowMillis < slowFrom) {
            return usual;
        }
        long slowEnd = slowFrom + SLOW_FOR_MILLIS;
        double applied = slowFrom - USUAL_LAG_MILLIS + SLOW_PACE * (Math.min(nowMillis, slowEnd) - slowFrom);
        applied += USUAL_PACE * Math.max(0, nowMillis - slowEnd);
        return Math.min(usual, (long) applied);
    }

    /** Writes and reads by turns, 240 to 700 ms apart. */
    private void play(int port, int player) {
        Random random = new Random(player);
        String session = String.format("%016x", 0x5e550000L + player);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5_000);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            long last = 0;
            for (long value = 1; System.currentTimeMillis() < startMillis + RUN_MILLIS; value++) {
                BsonDocument document = new BsonDocument("ref", new BsonString(session)).append("v", new BsonInt64(value));
                BsonDocument answer = ask(socket, in, new BsonDocument("insert", new BsonString("entries"))
                        .append("documents", new BsonArray(List.of(document))), "move-write", 2_000, session);
                if (isServed(answer)) {
                    last = value;
                    writes.incrementAndGet();
                }
                Rig.sleep(240 + random.nextInt(460));
                answer = ask(socket, in, new BsonDocument("find", new BsonString("entries"))
                        .append("filter", new BsonDocument("ref", new BsonString(session))), "own-move-read", 750, session);
                if (isServed(answer) && last > 0) {
                    reads.incrementAndGet();
                    long seen = answer.getDocument("cursor").getArray("firstBatch").get(0).asDocument()
                            .getInt64("v").getValue();
                    if (seen < last) {
                        stale.incrementAndGet();
                        rig.note("STALE: session " + session + " was told of its write " + last + " and then read " + seen);
                    }
                }
                Rig.sleep(random.nextInt(200));
            }
        } catch (IOException e) {
            rig.note("session " + session + ": " + e);
        }
    }

    private BsonDocument ask(
            Socket socket, DataInputStream in, BsonDocument command, String requestClass, int millis, String session)
            throws IOException {
        String id = "q" + ids.incrementAndGet();
        rig.note("session " + session + " sends " + id + " " + requestClass);
        socket.getOutputStream().write(Mongo.message(
                command.append("comment", new BsonString("id=" + id + ",c=" + requestClass + ",cluster=1,session=" + session))
                        .append("maxTimeMS", new BsonInt64(millis))
                        .append("$db", new BsonString("orders")),
                0));
        Mongo.Message answer = Mongo.read(in);
        if (answer == null) {
            throw new IOException("the connection ended");
        }
        rig.note(id + " is answered " + answer.body().toJson());
        return answer.body();
    }

    private static boolean isServed(BsonDocument answer) {
        return answer.getNumber("ok").intValue() == 1;
    }
}
