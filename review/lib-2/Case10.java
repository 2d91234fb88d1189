import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The building of a proxy is cut off, with the primaries of its groups. These are given up by their groups, say from then
 * on that they are replicas, and their data stands still. No bounded read may be sent to one that has said so, once its
 * data is older than the bound. Values are longer than 64 KiB.
 */
final class Case10 {
    private static final int GROUPS = 5;
    private static final int HOSTS_OF_GROUP = 3;
    /** Game servers of each group but the last, and lobby services of the last; each sends some 2.5 requests a second. */
    private static final int GAME_SERVERS = 4;

    private static final int LOBBY_SERVICES = 5;
    private static final int LOBBY_READ = 99;

    private static final String VALUE = "x".repeat(Integer.getInteger("value", 100_000));
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long GIVEN_UP_AFTER_MILLIS = 2_000;
    private static final long CUT_MILLIS = 8_000;
    /** What an answer tells counts as known 0.1 s after it was written; 50 ms of slack, 50 ms for a slow machine. */
    private static final long KNOWN_AFTER_MILLIS = 200;
    /** The bound of lobby-read, 50 ms of slack, 50 ms for a slow machine. */
    private static final long TOO_OLD_MILLIS = 300;

    private final Rig rig;
    private final int listen;
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger stale = new AtomicInteger();
    private final Map<String, String> staleReads = new ConcurrentHashMap<>();
    private final Map<String, Long> commits = new ConcurrentHashMap<>();
    private volatile boolean stop;

    private Case10(Rig rig, int listen) {
        this.rig = rig;
        this.listen = listen;
    }

    /** A host's work on a query that has come in whole. */
    private String serve(Pg.Host host, String id, String statement) throws InterruptedException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        if (statement.startsWith("INSERT")) {
            Thread.sleep(99 + random.nextInt(72));
            commits.put(id, System.currentTimeMillis());
            return "ok";
        }
        long now = System.currentTimeMillis();
        boolean primary = host.primary;
        long age = primary ? 0 : now - host.positionMillis();
        long told = host.copyToldMillis;
        rig.note(host.name + " gets " + id + (primary ? " as primary" : " as replica, data " + age + " ms old"));
        boolean known = told > 0 && now - told > KNOWN_AFTER_MILLIS;
        if (statement.contains("c=lobby-read") && known && age > TOO_OLD_MILLIS) {
            staleReads.put(id, id + " read " + host.name + ", whose data was " + age + " ms old, " + (now - told)
                    + " ms after it had told that it is a replica");
        }
        Thread.sleep(statement.contains("c=season-report") ? 990 + random.nextInt(710) : 39 + random.nextInt(30));
        return VALUE;
    }

    private void play(int group) {
        Random random = new Random();
        String session = String.format("%016x", random.nextLong());
        long committed = 0;
        Pg.Client client = null;
        while (!stop) {
            try {
                Thread.sleep(200 + random.nextInt(400));
                client = client == null ? new Pg.Client(listen) : client;
                String id = "q" + ids.incrementAndGet();
                int draw = group == GROUPS ? LOBBY_READ : random.nextInt(100);
                Pg.Answer answer = client.ask(statement(draw, session, id, group, committed), 16_000);
                rig.note("client gets for " + id + ": " + answer.kind());
                if (answer.kind().equals("served")) {
                    served.incrementAndGet();
                    committed = commits.getOrDefault(id, committed);
                    String seen = staleReads.get(id);
                    if (seen != null) {
                        stale.incrementAndGet();
                        rig.note("STALE " + seen);
                    }
                } else if (!answer.kind().equals("refused")) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                rig.note("client: " + e);
                client = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * The statement of a game server. With the lobby services' reads, the shares of the classes over all groups are those of
     * the brief: 44% lobby-read, 41% own-move-read, 2% season-report, 13% move-write.
     */
    private static String statement(int draw, String session, String id, int group, long committed) {
        if (draw < 17) {
            return "INSERT INTO entries (ref, payload) VALUES ('" + session + "', '01') RETURNING payload /* id=" + id
                    + ",c=move-write,d=2000,cluster=" + group + " */";
        }
        String names = draw < 20
                ? ",c=season-report,d=15000,cluster=" + group
                : draw < 74
                        ? ",c=own-move-read,d=750,cluster=" + group + ",after=" + committed
                        : ",c=lobby-read,d=1000,cluster=" + group;
        return "SELECT payload FROM entries WHERE ref = '" + session + "' /* id=" + id + names + " */";
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        int listen = Rig.freePort();
        int control = Rig.freePort();
        Case10 play = new Case10(rig, listen);
        List<Pg.Host> primaries = new ArrayList<>();
        List<Pg.Host> elsewhere = new ArrayList<>();
        List<String> targets = new ArrayList<>();
        for (int group = 1; group <= GROUPS; group++) {
            for (int i = 0; i < HOSTS_OF_GROUP; i++) {
                Pg.Host host = new Pg.Host("db-" + group + "-" + i, i == 0, play::serve);
                host.lagMillis = i == 0 ? 0 : 10;
                (i == 0 ? primaries : elsewhere).add(host);
                targets.add(Rig.target(host.name, host.port, group, "SERVING", i == 0));
            }
        }
        String all = String.join(",", targets);
        Discovery discovery = new Discovery(all);
        Path config = rig.write(
                "config.json", rig.config("n0", listen, control, discovery.port, Rig.list(1, all), Rig.settings(3)));
        Rig.Proxy proxy = rig.start("n0", config, control, null);
        if (!proxy.awaitReady(20_000)) {
            Rig.end(rig, 2, "the program was not ready");
        }
        for (int group = 1; group <= GROUPS; group++) {
            int number = group;
            for (int i = 0; i < (group == GROUPS ? LOBBY_SERVICES : GAME_SERVERS); i++) {
                Rig.daemon(() -> play.play(number));
            }
        }
        Thread.sleep(WARM_UP_MILLIS);
        if (Rig.TROUBLE) {
            rig.note("the building is cut off");
            elsewhere.forEach(host -> host.silent = true);
        }
        Thread.sleep(GIVEN_UP_AFTER_MILLIS);
        if (Rig.TROUBLE) {
            rig.note("the groups give up their primaries");
            primaries.forEach(Pg.Host::stepDown);
        }
        Thread.sleep(CUT_MILLIS - GIVEN_UP_AFTER_MILLIS);
        play.stop = true;
        Thread.sleep(500);
        String counts = play.served + " requests served, " + play.stale + " of them bounded reads of a host that had told that it"
                + " is a replica, from data older than the bound";
        if (play.served.get() < 100) {
            Rig.end(rig, 2, counts);
        }
        Rig.end(rig, play.stale.get() > 0 ? 1 : 0, counts);
    }
}
