package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.pcap.DropCounters;
import mintstair.registry.etcd.EtcdMember;
import mintstair.standin.Client;
import mintstair.standin.ConsulServer;
import mintstair.standin.MongoHost;
import mintstair.standin.PgHost;
import mintstair.standin.RegistryModel;
import mintstair.standin.TcpRelay;
import mintstair.traffic.RecordedExchange;
import mintstair.traffic.Recording;
import mintstair.traffic.TimeLine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The running program with a registry in the place of discovery. */
class RegistryProgramTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    private static final String HOSTS = "reg/postgresql/hosts/";
    private final RegistryModel model = new RegistryModel();
    private PgHost primary;
    private PgHost replica;
    private EtcdMember one;
    private EtcdMember two;
    private TcpRelay first;
    private TcpRelay second;

    @TempDir
    Path folder;

    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, AHEAD);
        replica = new PgHost("r", false, AHEAD);
        one = new EtcdMember(model);
        two = new EtcdMember(model);
        first = new TcpRelay(one.port());
        second = new TcpRelay(two.port());
        model.change(
                new TreeMap<>(Map.of(HOSTS + "p", primary.listed("SERVING"), HOSTS + "r", replica.listed("SERVING"))));
    }

    @AfterEach
    void stop() throws IOException {
        primary.close();
        replica.close();
        first.close();
        second.close();
        one.close();
        two.close();
    }

    private String operator(String more) {
        return "{\"registry\":{\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:" + first.port() + "\",\"127.0.0.1:"
                + second.port() + "\"],\"prefix\":\"reg/\"" + more + "}}";
    }

    private Program serve(String operator) throws IOException {
        // Discovery's address answers nobody: all that is known of hosts comes from the registry.
        return Program.serve(1, "", true, operator);
    }

    /**
     * Under load, in the middle of the break of an endpoint: nothing new to a host 1 s after its drain was written to
     * the proxy.
     */
    @Test
    void aDrainReachesTheHostsRuleThroughTheBreakOfAnEndpoint() throws Exception {
        Map<String, Long> at = new ConcurrentHashMap<>();
        replica.observer = line -> at.put(line, System.nanoTime());
        try (Program program = serve(operator(""))) {
            program.awaitFigure("registry_live=1");
            int port = program.port(0);
            AtomicBoolean over = new AtomicBoolean();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger other = new AtomicInteger();
            List<Thread> load = new ArrayList<>();
            for (int c = 0; c < 4; c++) {
                int client = c;
                load.add(new Thread(() -> {
                    try (Client.Pg pg = new Client.Pg(port)) {
                        for (int n = 0; !over.get(); n++) {
                            String answer = pg.ask(false, "id=c" + client + "n" + n + ",c=any,cluster=1", 4000);
                            (answer.startsWith("served") ? served : other).incrementAndGet();
                        }
                    } catch (IOException e) {
                        other.incrementAndGet();
                    }
                }));
            }
            load.forEach(Thread::start);
            Program.await(() -> at.size() > 200, "load at the replica");
            first.setSilent(true);
            long written = System.nanoTime();
            model.put(HOSTS + "r", replica.listed("DRAINING"));
            // Known to the proxy at the latest when its figures show the revision; the rule counts from the write.
            program.awaitFigure("registry_revision=" + model.revision);
            long known = System.nanoTime();
            int after = served.get();
            Program.await(() -> served.get() > after + 500, "load after the drain");
            Program.await(() -> System.nanoTime() > written + 3_000_000_000L, "time for a late one");
            over.set(true);
            for (Thread each : load) {
                each.join();
            }
            long last = at.values().stream().mapToLong(v -> v).max().orElse(0);
            assertTrue(last <= known + 1_000_000_000L, "sent " + (last - known) / 1_000_000 + " ms after it was known");
            assertEquals(0, other.get(), "every request is served by the primary then");
        }
    }

    @Test
    void settingsAreTakenOverWholeOrTurnedDown() throws Exception {
        try (Program program = serve(operator(""))) {
            program.awaitFigure("registry_live=1");
            String settings = Program.SETTINGS.replace("PROBING", "true");
            model.put("reg/settings", settings.replace("\"name\":\"any\"", "\"name\":\"lobby\""));
            program.awaitFigure("reloads_ok=1");
            assertEquals(
                    1,
                    program.lines("settings taken over from the registry at revision " + model.revision)
                            .size());
            try (Client.Pg client = new Client.Pg(program.port(0))) {
                assertEquals("served x", client.ask(false, "id=x,c=lobby,cluster=1", 4000));
                model.put("reg/settings", settings.replace("\"deadlineS\":5", "\"deadlineS\":0"));
                program.awaitFigure("reloads_failed=1");
                assertEquals(
                        1,
                        program.lines("mintstair: the old settings stay: settings at revision " + model.revision
                                        + ": deadlineS")
                                .size(),
                        program.printed.toString());
                assertEquals("served y", client.ask(false, "id=y,c=lobby,cluster=1", 4000));
                model.put("reg/settings", settings);
                program.awaitFigure("reloads_ok=2");
                assertEquals("served z", client.ask(false, "id=z,c=any,cluster=1", 4000));
            }
        }
    }

    @Test
    void withTheRegistryDownTheLastRunsHostsServe() throws Exception {
        String operator = operator(",\"snapshot\":\"" + folder.resolve("kept") + "\",\"snapshot_every_s\":0.1");
        try (Program program = serve(operator)) {
            program.awaitFigure("registry_live=1");
            Program.await(() -> Files.exists(folder.resolve("kept")), "the snapshot");
            program.process.destroyForcibly().waitFor();
        }
        first.setRefusing(true);
        second.setRefusing(true);
        try (Program program = serve(operator)) {
            try (Client.Pg client = new Client.Pg(program.port(0))) {
                assertEquals("served x", client.ask(true, "id=x,c=write,cluster=1", 4000));
            }
            program.awaitFigure("registry_live=0");
            assertEquals(
                    1,
                    program.lines("registry: starting from " + folder.resolve("kept"))
                            .size());
            first.setRefusing(false);
            program.awaitFigure("registry_live=1");
        }
    }

    @Test
    void bothFrontsFollowOneConsul() throws Exception {
        MongoHost mongo = new MongoHost("m", true, AHEAD);
        model.put("reg/mongodb/hosts/m", mongo.listed("SERVING"));
        try (ConsulServer consul = new ConsulServer(model, null);
                Program program = serve("{\"mongodb\":{\"listen\":\"127.0.0.1:0\"},"
                        + "\"registry\":{\"kind\":\"consul\",\"endpoints\":[\"127.0.0.1:" + consul.port()
                        + "\"],\"prefix\":\"reg/\",\"fronts\":[\"postgresql\",\"mongodb\"]}}")) {
            program.awaitFigure("registry_hosts=3");
            try (Client.Pg pg = new Client.Pg(program.port(0));
                    Client.Mongo client = new Client.Mongo(program.port(1))) {
                assertEquals("served x", pg.ask(true, "id=x,c=write,cluster=1", 4000));
                assertEquals("served y", client.ask(true, "id=y,c=write,cluster=1", 4000));
                model.delete("reg/mongodb/hosts/m");
                program.awaitFigure("registry_hosts=2");
                assertEquals("served z", pg.ask(true, "id=z,c=write,cluster=1", 4000));
            }
        } finally {
            mongo.close();
        }
    }

    /** {@code registry watch} prints a line a change, through the break of its endpoint. */
    @Test
    void watchPrintsALineAChange() throws Exception {
        Path operator = Files.writeString(folder.resolve("operator.json"), operator(""));
        try (Program watch = new Program("registry", "watch", operator.toString())) {
            Program.await(() -> watch.lines("2 postgresql ").size() == 2, "the first list");
            first.closeAll();
            second.closeAll();
            model.put(HOSTS + "r", replica.listed("DRAINING"));
            model.delete(HOSTS + "p");
            Program.await(() -> watch.lines("4 postgresql p DELETED ").size() == 1, "the deletion: " + watch.printed);
            assertEquals(
                    1,
                    watch.lines("").stream()
                            .filter(l -> l.contains(" r DRAINING "))
                            .count());
        }
    }

    /** Both sides are recorded into a folder, and what was recorded of the clients is what was asked and answered. */
    @Test
    void recordedTrafficIsWhatWasSaid() throws Exception {
        String record = "{\"record\":{\"folder\":\"" + folder.resolve("traffic") + "\",\"hosts\":true},"
                + operator("").substring(1);
        int port;
        try (Program program = serve(record)) {
            program.awaitFigure("registry_live=1");
            port = program.port(0);
            try (Client.Pg client = new Client.Pg(port)) {
                for (int i = 0; i < 20; i++) {
                    assertEquals(
                            "served x" + i,
                            client.ask(
                                    i % 2 == 0,
                                    "id=x" + i + ",c=" + (i % 2 == 0 ? "write" : "any") + ",cluster=1",
                                    4000));
                }
            }
            program.awaitFigure("record_lost=0");
            program.end();
        }
        List<Path> files;
        try (java.util.stream.Stream<Path> all = Files.list(folder.resolve("traffic"))) {
            files = all.sorted().toList();
        }
        for (int at : new int[] {port, primary.port()}) {
            List<RecordedExchange> found = new ArrayList<>();
            Recording.read(
                    files,
                    false,
                    () -> new TimeLine(Long.MAX_VALUE),
                    Map.of(at, Recording.Protocol.POSTGRESQL),
                    new DropCounters(),
                    found::add);
            List<String> served = found.stream()
                    .filter(e -> e.id().startsWith("x") && e.result() == RecordedExchange.Result.SERVED)
                    .map(RecordedExchange::id)
                    .toList();
            assertTrue(served.size() >= 10 && (at != port || served.size() == 20), at + ": " + served);
        }
    }

    @Test
    void whatCannotBeUsedEndsTheStartWithOneLine() throws Exception {
        String[] faults = {
            "\"kind\":\"paper\"",
            "\"kind\":\"etcd\",\"endpoints\":[]",
            "\"kind\":\"etcd\",\"endpoints\":[\"x\"]",
            "\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:1\"],\"prefix\":\"no slash\"",
            "\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:1\"],\"prefix\":\"p/\",\"colour\":1",
            "\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:1\"],\"prefix\":\"p/\",\"fronts\":[\"mongodb\"]",
            "\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:1\"],\"prefix\":\"p/\",\"user\":\"u\",\"password_file\":\"/none\"",
            "\"kind\":\"etcd\",\"endpoints\":[\"127.0.0.1:1\"],\"prefix\":\"p/\",\"tls\":{\"ca\":\"/none\"}"
        };
        for (String fault : faults) {
            try (Program program = serve("{\"registry\":{" + fault + "}}")) {
                assertEquals(2, program.exit(), fault);
                Program.await(
                        () -> program.lines("mintstair: ").size() == 1,
                        "one line for " + fault + ": " + program.printed);
            }
        }
    }
}
