import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Three members of the store. Operators change the list of hosts, each time as a whole, as the README says; then all
 * members are started anew. What was acknowledged has to be read back.
 */
final class Case9 {
    private static final int MEMBERS = 3;
    private static final int HOSTS = 3200;
    private static final int CHANGES = 72;
    private static final int WRITERS = 8;
    /** The lists that the store holds: that of the second front, and those of earlier evenings, to go back to. */
    private static final int LISTS = 6;

    private Case9() {}

    /**
     * A list, indented, of as many hosts as the pages allow a fleet to have: under 1 MiB, which an entry may hold. Without
     * the trouble it is that of a small deployment.
     */
    private static String hosts(int revision) {
        int count = Rig.TROUBLE ? HOSTS : 9;
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean drains = i % CHANGES == revision % CHANGES;
            String target = Rig.target("mdb-" + i, 1, i / 3, drains ? "DRAINING" : "SERVING", i % 3 == 0);
            targets.add(target.replace(",\"", ",\n              \"").replace("{", "\n        {\n          ").replace("}", "\n        }"));
        }
        return Rig.list(revision, targets.toArray(new String[0]));
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        Discovery discovery = new Discovery("");
        int[] store = new int[MEMBERS];
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < MEMBERS; i++) {
            store[i] = Rig.freePort();
            members.append(i == 0 ? "" : ",").append("\"n" + i + "\":\"127.0.0.1:" + store[i] + "\"");
        }
        Path[] config = new Path[MEMBERS];
        Path[] operator = new Path[MEMBERS];
        int[] control = new int[MEMBERS];
        List<Rig.Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            control[i] = Rig.freePort();
            config[i] = rig.write(
                    "config-" + i + ".json",
                    rig.config("n" + i, Rig.freePort(), control[i], discovery.port, Rig.list(1), Rig.settings(MEMBERS)));
            operator[i] = rig.write(
                    "operator-" + i + ".json",
                    "{\"store\":{\"member\":\"n" + i + "\",\"members\":{" + members + "},\"folder\":\"" + rig.folder.resolve("store-" + i)
                            + "\"}}");
            proxies.add(rig.start("n" + i, config[i], control[i], operator[i]));
        }
        for (Rig.Proxy proxy : proxies) {
            if (!proxy.awaitReady(20_000)) {
                Rig.end(rig, 2, "a member was not ready");
            }
        }
        String file = operator[0].toString();
        String put = rig.command(new byte[0], "store", file, "put", "config/agreed", "yes");
        rig.note("put config/agreed: " + put);
        if (!put.startsWith("0") || !rig.command(new byte[0], "store", file, "get", "config/agreed").equals("0 yes")) {
            Rig.end(rig, 2, "the store did not take its first entry");
        }

        AtomicInteger next = new AtomicInteger();
        AtomicInteger acknowledged = new AtomicInteger();
        AtomicReference<String> failure = new AtomicReference<>();
        long stopAt = rig.ms() + 50_000;
        ExecutorService writers = Executors.newFixedThreadPool(WRITERS);
        for (int w = 0; w < WRITERS; w++) {
            writers.execute(() -> {
                try {
                    while (failure.get() == null && rig.ms() < stopAt) {
                        int revision = next.incrementAndGet();
                        if (revision > CHANGES) {
                            return;
                        }
                        byte[] value = hosts(revision).getBytes(StandardCharsets.UTF_8);
                        int list = revision % LISTS;
                        String key = "config/mongodb/hosts" + (list == 0 ? "" : "/before-" + list);
                        String answer = rig.command(value, "store", file, "put", key, "-");
                        String brief = answer.substring(0, Math.min(100, answer.length()));
                        rig.note("put " + key + " revision " + revision + " of " + value.length + " bytes: " + brief);
                        if (answer.startsWith("0")) {
                            acknowledged.incrementAndGet();
                        } else {
                            failure.compareAndSet(null, brief);
                        }
                    }
                } catch (Exception e) {
                    failure.compareAndSet(null, e.toString());
                }
            });
        }
        writers.shutdown();
        writers.awaitTermination(90, TimeUnit.SECONDS);
        rig.say("acknowledged changes: " + acknowledged + ", first failure: " + failure.get());

        Thread.sleep(3000);
        String running = rig.command(new byte[0], "store", file, "get", "config/agreed");
        boolean hung = !running.equals("0 yes");
        boolean allRun = proxies.stream().allMatch(proxy -> proxy.process.isAlive());
        rig.say("get config/agreed before the restart, all processes run " + allRun + ": "
                + running.substring(0, Math.min(120, running.length())));
        for (int i = 0; i < MEMBERS; i++) {
            proxies.get(i).signal("TERM");
        }
        for (int i = 0; i < MEMBERS; i++) {
            if (!proxies.get(i).process.waitFor(5, TimeUnit.SECONDS)) {
                proxies.get(i).signal("KILL");
                proxies.get(i).process.waitFor();
            }
            rig.note("n" + i + " has ended with status " + proxies.get(i).process.exitValue());
        }
        List<Rig.Proxy> again = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            again.add(rig.start("n" + i + "-again", config[i], control[i], operator[i]));
        }
        for (Rig.Proxy proxy : again) {
            if (!proxy.awaitReady(15_000)) {
                Rig.end(rig, 1, proxy.name + " does not start anew");
            }
        }
        Thread.sleep(3000);
        String answer = "";
        for (int attempt = 0; attempt < 2; attempt++) {
            answer = rig.command(new byte[0], "store", file, "get", "config/agreed");
            rig.note("get config/agreed: " + answer.substring(0, Math.min(300, answer.length())));
            if (answer.equals("0 yes")) {
                Rig.end(
                        rig,
                        hung ? 1 : 0,
                        "after " + acknowledged + " changes the acknowledged entry is read "
                                + (hung ? "only after a restart: the store of all members had stopped" : "before and after a restart"));
            }
        }
        boolean alive = again.stream().allMatch(proxy -> proxy.process.isAlive());
        Rig.end(
                rig,
                1,
                "an acknowledged entry can't be read, before and after a restart, although all members run (" + alive + "): "
                        + answer.substring(0, Math.min(120, answer.length())));
    }
}
