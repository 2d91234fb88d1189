package mintstair.pins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import mintstair.decision.InvariantMonitor;
import mintstair.front.ClientCloseReason;
import mintstair.program.Program;
import mintstair.registry.etcd.EtcdMember;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryKeys;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewLimits;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.WatchView;
import mintstair.request.ConnectionEnd;
import mintstair.request.GiveUpReason;
import mintstair.standin.Client;
import mintstair.standin.MongoHost;
import mintstair.standin.PgHost;
import mintstair.standin.RegistryModel;
import mintstair.stats.Counters;
import mintstair.stats.MetricsSnapshot;
import org.bson.BsonDocument;
import org.bson.BsonValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The names of all figures and counters, as those who collect them read them. */
class MetricNamesTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    /** Metrics that are there only once there was something to count. */
    private static final String COUNTED = "/pins/telemetry-counted.txt";

    private static final Pattern COUNTER = Pattern.compile("([a-z_]+)=(\\{[^}]*\\}|-?\\d+)");
    private final RegistryModel model = new RegistryModel();

    @TempDir
    Path folder;

    private PgHost primary;
    private MongoHost document;
    private EtcdMember registry;
    private Program program;

    /** A program with all parts that have figures: both fronts, a registry, a fleet and a recording. */
    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, AHEAD);
        document = new MongoHost("m", true, AHEAD);
        registry = new EtcdMember(model);
        model.change(new TreeMap<>(Map.of("reg/postgresql/hosts/p", primary.listed("SERVING"))));
        program = Program.serve(
                1,
                "",
                false,
                "{\"mongodb\":{\"listen\":\"127.0.0.1:0\",\"hosts\":{\"rev\":1,\"all\":true,\"targets\":["
                        + document.listed("SERVING") + "]}},\"record\":{\"folder\":\"" + folder
                        + "\"},\"registry\":{\"kind\":\"etcd\",\"endpoints\":["
                        + "\"127.0.0.1:" + registry.port()
                        + "\"],\"prefix\":\"reg/\"},\"membership\":{\"fleet\":\"test\",\"listen\":\"127.0.0.1:0\","
                        + "\"seeds\":[]}}");
    }

    @AfterEach
    void stop() throws IOException {
        program.close();
        registry.close();
        document.close();
        primary.close();
    }

    private List<String> telemetry() {
        try {
            List<String> lines = program.call("telemetry\n").lines().toList();
            assertEquals("ok", lines.get(0));
            assertEquals("eof", lines.get(lines.size() - 1));
            return lines.subList(1, lines.size() - 1).stream()
                    .map(line -> {
                        assertTrue(line.matches("svc\\.[^=]+=-?\\d+"), line);
                        return line.substring(0, line.indexOf('='));
                    })
                    .toList();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void telemetryHasTheseFigures() throws IOException {
        program.port(1);
        program.awaitFigure("registry_live=1");
        model.put("reg/postgresql/hosts/p", primary.listed("SERVING"));
        Program.await(() -> telemetry().contains("svc.registry_batches"), "a change that the registry tells");
        List<String> counted = Names.expected(COUNTED);
        Names.assertSame(
                "/pins/telemetry.txt",
                telemetry().stream().filter(name -> !counted.contains(name)).toList());
    }

    /** What the figures are called that count by reasons, for each reason that there is. */
    @Test
    void figuresThatCountByReasonsHaveTheseNames() throws IOException {
        Counters counters = new Counters();
        for (ClientCloseReason why : ClientCloseReason.values()) {
            counters.clientConnectionClosed(why);
        }
        for (ConnectionEnd end : ConnectionEnd.values()) {
            counters.retrySent(end);
        }
        counters.retrySent(null);
        for (GiveUpReason reason : GiveUpReason.values()) {
            counters.requestGivenUp(reason);
        }
        for (InvariantMonitor.Violation rule : InvariantMonitor.Violation.values()) {
            counters.invariantViolated(rule.name().toLowerCase(java.util.Locale.ROOT));
        }
        MetricsSnapshot.Builder sum = new MetricsSnapshot.Builder();
        counters.addTo(sum);
        List<String> names = new ArrayList<>(sum.build()
                .toString()
                .lines()
                .map(line -> line.substring(0, line.indexOf('=')))
                .toList());
        names.removeAll(Names.expected("/pins/telemetry.txt"));
        breaks().forEach(name -> names.add("svc.registry_" + name));
        Names.assertSame(COUNTED, names);
    }

    /** The counts of a registry's view all of whose calls break, for each reason once. */
    private static List<String> breaks() {
        RegistryView view = new WatchView(
                new RegistryKeys("reg/", List.of("postgresql")),
                new ViewLimits(60, 200, 300, 5, 10_000, 2_000),
                ViewTimeouts.DEFAULT,
                3,
                1);
        long now = 1_000_000_000;
        view.start(now, null);
        for (RegistryEvent.Reason reason : RegistryEvent.Reason.values()) {
            for (long call = 0;
                    !view.metrics(now)
                            .counts()
                            .containsKey("breaks_" + reason.name().toLowerCase(java.util.Locale.ROOT));
                    call++) {
                assertTrue(call < 1_000, "no call that " + reason + " ends");
                view.on(now, new RegistryEvent.CallFailed(call, reason, "for the test"));
            }
            now = Math.max(now, view.wakeAt());
            view.tick(now);
        }
        return view.metrics(now).counts().keySet().stream()
                .filter(name -> name.startsWith("breaks_"))
                .toList();
    }

    /** Guards against counters that are maps, which once left the command without a reply. */
    @Test
    void serverStatusHasTheseCounters() throws IOException {
        try (Client.Mongo client = new Client.Mongo(program.port(1))) {
            BsonDocument status = client.command(BsonDocument.parse("{serverStatus: 1}"));
            assertEquals(1, status.getNumber("ok").intValue(), status.toJson());
            Names.assertSame(
                    "/pins/server-status.txt",
                    status.keySet().stream()
                            .flatMap(key -> names(key, status.get(key)))
                            .toList());
        }
    }

    /** A value's name, or those of the values that it holds. */
    private static Stream<String> names(String key, BsonValue value) {
        if (!value.isDocument()) {
            return Stream.of(key);
        }
        return value.asDocument().keySet().stream().map(inner -> key + "." + inner);
    }

    private static TreeSet<String> counters(String line) {
        Matcher each = COUNTER.matcher(line);
        TreeSet<String> names = new TreeSet<>();
        StringBuilder whole = new StringBuilder();
        while (each.find()) {
            names.add(each.group(1));
            whole.append(each.group()).append(' ');
        }
        assertEquals(line.strip(), whole.toString().strip(), "nothing but names and values");
        return names;
    }

    @Test
    void showCountersHasTheseCounters() throws IOException {
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            client.raw(Client.Pg.query("SHOW counters"));
            String answer = client.answer();
            assertTrue(answer.startsWith("served "), answer);
            Names.assertSame("/pins/show-counters.txt", counters(answer.substring("served ".length())));
        }
    }

    @Test
    void secondAddressKnowsTheseCalls() throws IOException {
        program.port(1);
        Program.await(
                () -> {
                    try {
                        return program.call("readyz\n").equals("ok\n");
                    } catch (IOException e) {
                        return false;
                    }
                },
                "the program to take clients");
        String members = program.call("members\n");
        assertTrue(
                members.matches("ok\nmember n1 alive 127\\.0\\.0\\.1:\\d+ incarnation=\\d+ self\n"
                        + "view version=\\d+ settled=(true|false) quorum=(true|false) counted=1 largest=\\d+\neof\n"),
                members);
        assertEquals("fail\n", program.call("other\n"));
    }
}
