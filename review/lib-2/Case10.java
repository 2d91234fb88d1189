import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upgrade under load, where sessions are remembered by the proxy: game servers write and read for their players while
 * the new process starts beside the old one, takes over and the old one ends. Each read has to see its session's last
 * write that was answered before the read was sent.
 */
final class Case10 {
    private static final int SESSIONS = 40;

    private final Rig rig;
    private final int listen;
    private final AtomicInteger writes = new AtomicInteger();
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicInteger stale = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private volatile boolean stop;

    private Case10(Rig rig, int listen) {
        this.rig = rig;
        this.listen = listen;
    }

    /** The connections of one game server, of which the next request may use any. */
    private final class Pool {
        private final Pg.Client[] connections = new Pg.Client[2];
        private final Random random;

        Pool(long seed) {
            random = new Random(seed);
        }

        /** A request on a connection that ended before it was read is sent once more, on a new connection. */
        Pg.Answer ask(String statement) throws IOException, InterruptedException {
            int index = random.nextInt(connections.length);
            for (int attempt = 0; attempt < 2; attempt++) {
                if (connections[index] == null) {
                    connections[index] = connect();
                }
                if (connections[index] == null) {
                    break;
                }
                Pg.Answer answer = connections[index].ask(statement, 3000);
                if (!answer.kind().equals("connection ended")) {
                    return answer;
                }
                connections[index].close();
                connections[index] = null;
            }
            return new Pg.Answer("connection ended", "", 0);
        }

        private Pg.Client connect() throws InterruptedException {
            for (int attempt = 0; attempt < 20; attempt++) {
                try {
                    return new Pg.Client(listen);
                } catch (IOException e) {
                    Thread.sleep(20);
                }
            }
            return null;
        }

        /** Now and then a game server gives a connection up, and opens another when it needs one. */
        void maybeLetGo() throws IOException {
            int index = random.nextInt(connections.length);
            if (random.nextInt(4) == 0 && connections[index] != null) {
                connections[index].close();
                connections[index] = null;
            }
        }
    }

    private void play(int number) {
        Pool pool = new Pool(number);
        Random random = new Random(1000 + number);
        String session = String.format("%016x", 0x7f3a9c21L * (number + 1));
        int last = 0;
        try {
            for (int n = 1; !stop; n++) {
                String value = String.format("%08x", n);
                String writeId = "w" + ids.incrementAndGet();
                Pg.Answer write = pool.ask("INSERT INTO entries (ref, payload) VALUES ('" + session + "', '" + value
                        + "') RETURNING payload /* id=" + writeId + ",c=move-write,d=2000,cluster=1 */");
                if (write.kind().equals("served")) {
                    last = n;
                    writes.incrementAndGet();
                }
                rig.note("session " + number + " write " + writeId + " = " + value + ": " + write.kind());
                Thread.sleep(100 + random.nextInt(200));
                pool.maybeLetGo();
                for (int r = 0; r < 2 && !stop; r++) {
                    String readId = "r" + ids.incrementAndGet();
                    Pg.Answer read = pool.ask("SELECT payload FROM entries WHERE ref = '" + session + "' /* id=" + readId
                            + ",c=own-move-read,d=750,cluster=1 */");
                    rig.note("session " + number + " read " + readId + " sees " + read.value() + ": " + read.kind());
                    if (read.kind().equals("served")) {
                        reads.incrementAndGet();
                        int seen = read.value().equals("none") ? 0 : Integer.parseInt(read.value(), 16);
                        if (seen < last) {
                            stale.incrementAndGet();
                            rig.note("STALE session " + number + " read " + readId + " sees " + seen + " after " + last
                                    + " was answered");
                        }
                    }
                    Thread.sleep(50 + random.nextInt(100));
                }
            }
        } catch (IOException | InterruptedException e) {
            rig.note("session " + number + " ends: " + e);
        }
    }

    private void report() {
        Pool pool = new Pool(99);
        try {
            while (!stop) {
                Pg.Answer answer = pool.ask("SELECT payload FROM entries WHERE ref = 'season' /* id=s" + ids.incrementAndGet()
                        + ",c=season-report,d=15000,cluster=1 */");
                rig.note("season-report: " + answer.kind());
                Thread.sleep(300);
            }
        } catch (IOException | InterruptedException e) {
            rig.note("reports end: " + e);
        }
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        Replicated group = new Replicated(rig, 2);
        Discovery discovery = new Discovery(group.targets());
        int listen = Rig.freePort();
        int control = Rig.freePort();
        String known = Rig.list(1, group.targets());
        Path config = rig.write(
                "config.json", rig.config("n0", listen, control, discovery.port, known, Rig.settings(1, "remembered")));
        Rig.Proxy old = rig.start("old", config, control, null);
        if (!old.awaitReady(20_000)) {
            Rig.end(rig, 2, "the program was not ready");
        }
        Case10 play = new Case10(rig, listen);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            int number = i;
            threads.add(new Thread(() -> play.play(number)));
        }
        threads.add(new Thread(play::report));
        threads.forEach(thread -> {
            thread.setDaemon(true);
            thread.start();
        });
        Thread.sleep(5000);
        int staleBefore = play.stale.get();
        if (Rig.TROUBLE) {
            int nextControl = Rig.freePort();
            Path nextConfig = rig.write(
                    "config-new.json",
                    rig.config("n0", listen, nextControl, discovery.port, known, Rig.settings(1, "remembered")));
            Rig.Proxy successor = rig.start("new", nextConfig, nextControl, null);
            if (!successor.awaitReady(6_000)) {
                Rig.end(rig, 2, "the new process was not ready within 6 s");
            }
            Thread.sleep(1000);
            old.signal("TERM");
            old.process.waitFor();
            rig.note("old has ended with status " + old.process.exitValue());
            Thread.sleep(3000);
        } else {
            Thread.sleep(10_000);
        }
        play.stop = true;
        for (Thread thread : threads) {
            thread.join(20_000);
        }
        String counts = play.writes + " writes and " + play.reads + " reads served, " + play.stale + " reads older than their"
                + " session's last answered write, " + staleBefore + " of them before the upgrade";
        if (play.reads.get() < 200) {
            Rig.end(rig, 2, counts);
        }
        Rig.end(rig, play.stale.get() > 0 ? 1 : 0, counts);
    }
}
