package mintstair.pins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.program.Program;
import mintstair.registry.etcd.EtcdMember;
import mintstair.standin.PgHost;
import mintstair.standin.RegistryModel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Commands, options and exit statuses, and what other programs read on standard output: the program from outside. */
class CommandNamesTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    private static final String KEY = "reg/postgresql/hosts/p";
    private static final String HOST =
            "{\"uid\":\"p\",\"endpoint\":\"127.0.0.1:6001\",\"az\":\"a\",\"pod_group\":1,\"state\":\"SERVING\"}";
    private static final String MONGO_HOSTS = "{\"rev\":1,\"all\":true,\"targets\":[" + HOST + "]}";
    /** So many programs run at once. */
    private static final int AT_ONCE = 8;

    private static final Pattern OPTION = Pattern.compile("(?<![\\w-])(--[a-z][a-z-]*|-[a-zA-Z](?![\\w-]))");
    private final RegistryModel model = new RegistryModel();
    private PgHost host;
    private EtcdMember registry;

    @TempDir
    Path folder;

    @BeforeEach
    void start() throws IOException {
        host = new PgHost("p", true, AHEAD);
        registry = new EtcdMember(model);
        model.change(new TreeMap<>(Map.of(KEY, HOST)));
    }

    @AfterEach
    void stop() throws IOException {
        registry.close();
        host.close();
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }

    private static String free() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return "127.0.0.1:" + free.getLocalPort();
        }
    }

    private String config() {
        return "{\"name\":\"n1\",\"control\":\"127.0.0.1:0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                + "\"known\":{\"rev\":0,\"all\":true,\"targets\":[" + host.listed("SERVING") + "]},\"settings\":"
                + Program.SETTINGS.replace("PROBING", "false") + "}";
    }

    private static String registry(String address) {
        return "{\"registry\":{\"kind\":\"etcd\",\"endpoints\":[\"" + address + "\"],\"prefix\":\"reg/\"}}";
    }

    private void writeFiles() throws IOException {
        write("config.json", config());
        write("bad.json", "{\"name\":\"n1\"}");
        write("empty.json", "{}");
        write("text", "no recording");
        write("down.json", registry("127.0.0.1:1"));
        write("etcd.json", registry("127.0.0.1:" + registry.port()));
        write(
                "store.json",
                "{\"store\":{\"member\":\"n1\",\"members\":{\"n1\":\"127.0.0.1:1\"},\"folder\":\"" + folder.resolve("s")
                        + "\"}}");
        List<Path> recorded = StoredData.files(StoredData.copy(StoredData.ROTATED, folder), "traffic-");
        Files.copy(recorded.get(0), folder.resolve("a.pcap"));
        Files.copy(StoredData.copy(StoredData.SINGLE, folder), folder.resolve("b.pcap"));
        Files.write(folder.resolve("empty.pcap"), Arrays.copyOf(Files.readAllBytes(folder.resolve("a.pcap")), 24));
    }

    private List<String> arguments(String words) {
        List<String> arguments = new ArrayList<>();
        for (String word : words.strip().split(" ")) {
            arguments.add(word.replace("$F", folder.toString())
                    .replace("$R", "2")
                    .replace("$HOST", HOST)
                    .replace("$OTHER_HOST", HOST.replace("\"p\"", "\"q\"")));
        }
        arguments.remove("");
        return arguments;
    }

    /** A line as the resource has it, with the status and the kind of line that this program gives. */
    private String outcome(String line) throws IOException, InterruptedException {
        String words = line.split("\\|", -1)[2];
        try (ProgramRun run = new ProgramRun("", arguments(words))) {
            int status = run.exit();
            String err = run.err();
            String kind = kind(err);
            return status + " | " + kind + " |" + words;
        }
    }

    /** What standard error has: nothing, one line of usage, one line of another error, or more than that. */
    private static String kind(String err) {
        if (err.isEmpty()) {
            return "-";
        }
        if (err.lines().count() > 1 || !err.startsWith("mintstair: ")) {
            return "more: " + err;
        }
        boolean usage = err.startsWith("mintstair: usage: ") || err.startsWith("mintstair: registry: show | ");
        return usage ? "usage" : "error";
    }

    private List<String> outcomes(List<String> lines) throws IOException, InterruptedException {
        List<String> outcomes = new ArrayList<>();
        for (String line : lines) {
            outcomes.add(outcome(line));
        }
        return outcomes;
    }

    /** Whether it changes the registry, or is told of its changes. */
    private static boolean changes(String line) {
        return line.matches("[01] .*etcd.json.*|.* delete .*");
    }

    /** Those that change the registry run in turn, the others side by side. */
    @Test
    void exitStatusesAreThese() throws Exception {
        writeFiles();
        List<String> expected = Names.expected("/pins/exit-statuses.txt");
        ExecutorService threads = Executors.newFixedThreadPool(AT_ONCE);
        try {
            Future<List<String>> inTurn = threads.submit(() ->
                    outcomes(expected.stream().filter(CommandNamesTest::changes).toList()));
            List<Future<String>> beside = new ArrayList<>();
            for (String line : expected) {
                beside.add(changes(line) ? null : threads.submit((Callable<String>) () -> outcome(line)));
            }
            Iterator<String> changing = inTurn.get().iterator();
            List<String> actual = new ArrayList<>();
            for (Future<String> each : beside) {
                actual.add(each == null ? changing.next() : each.get());
            }
            assertEquals(String.join("\n", expected), String.join("\n", actual));
        } finally {
            threads.shutdownNow();
        }
    }

    private static Set<String> options(String text) {
        Set<String> options = new TreeSet<>();
        for (Matcher each = OPTION.matcher(text); each.find(); ) {
            options.add(each.group());
        }
        return options;
    }

    private static String help(String... arguments) throws IOException, InterruptedException {
        try (ProgramRun run = new ProgramRun(arguments)) {
            assertEquals(0, run.exit(), run.err());
            return run.out();
        }
    }

    /** From the usage texts, and of {@code traffic} from the help of each command. */
    @Test
    void commandsAndOptionsAreThese() throws Exception {
        writeFiles();
        List<String> found = new ArrayList<>();
        try (ProgramRun run = new ProgramRun()) {
            run.exit();
            found.addAll(Arrays.asList(run.err()
                    .strip()
                    .replace("mintstair: usage: java -jar mintstair.jar ", "")
                    .split(" \\| ")));
        }
        try (ProgramRun run =
                new ProgramRun("registry", "other", folder.resolve("etcd.json").toString())) {
            run.exit();
            Arrays.asList(run.err().strip().replace("mintstair: registry: ", "").split(" \\| "))
                    .forEach(each -> found.add("registry " + each));
        }
        String all = help("traffic", "--help");
        found.add("traffic " + options(all));
        String commands = all.substring(all.indexOf("Commands:") + "Commands:".length());
        for (Matcher each = Pattern.compile("(?m)^  (\\w[\\w-]*) ").matcher(commands); each.find(); ) {
            found.add("traffic " + each.group(1) + " " + options(help("traffic", each.group(1), "--help")));
        }
        Names.assertSame("/pins/commands.txt", found);
    }

    /** Where it serves, it says by these lines alone; and after SIGTERM what it counted, and status 0. */
    @Test
    void serveTellsItsAddressesOnStandardOutput() throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), config());
        String member = free();
        Path operator = Files.writeString(
                folder.resolve("operator.json"),
                "{\"mongodb\":{\"listen\":\"127.0.0.1:0\",\"hosts\":" + MONGO_HOSTS
                        + "},\"store\":{\"member\":\"n1\",\"members\":{\"n1\":\"" + member + "\"},\"folder\":\""
                        + folder.resolve("store") + "\"},"
                        + "\"membership\":{\"fleet\":\"test\",\"listen\":\"127.0.0.1:0\",\"seeds\":[]}}");
        try (ProgramRun run = new ProgramRun("serve", "--operator", operator.toString(), config.toString())) {
            String control = run.awaitLine("control on ");
            assertTrue(control.matches("127\\.0\\.0\\.1:\\d+"), control);
            Program.await(() -> serving(run).size() == 2, "both fronts");
            assertTrue(
                    serving(run).stream().allMatch(line -> line.matches("serving on 127\\.0\\.0\\.1:\\d+")),
                    serving(run).toString());
            assertStoreAndMembersAnswer(operator.toString(), control);
            run.terminate();
            assertEquals(0, run.exit(), run.err());
            run.awaitLine("ending: ");
            assertEquals(
                    2,
                    run.out()
                            .lines()
                            .filter(line -> line.startsWith("counters: taken="))
                            .count(),
                    run.out());
        }
    }

    private static List<String> serving(ProgramRun run) {
        try {
            return run.out()
                    .lines()
                    .filter(line -> line.startsWith("serving on "))
                    .toList();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static void assertStoreAndMembersAnswer(String operator, String control)
            throws IOException, InterruptedException {
        try (ProgramRun one = new ProgramRun("store", operator, "put", "config/a", "one");
                ProgramRun two =
                        new ProgramRun(" from standard input\n", List.of("store", operator, "put", "config/b", "-"))) {
            assertEquals(0, one.exit(), one.err());
            assertEquals(0, two.exit(), two.err());
            assertEquals("", one.out() + two.out());
        }
        try (ProgramRun one = new ProgramRun("store", operator, "get", "config/a");
                ProgramRun two = new ProgramRun("store", operator, "get", "config/b");
                ProgramRun none = new ProgramRun("store", operator, "get", "config/none")) {
            assertEquals(List.of(0, 0, 2), List.of(one.exit(), two.exit(), none.exit()));
            assertEquals("one\nfrom standard input\n", one.out() + two.out());
            assertEquals("mintstair: no entry config/none\n", none.err());
        }
        String members = help("members", control);
        assertTrue(
                members.matches("member n1 alive 127\\.0\\.0\\.1:\\d+ incarnation=\\d+ self\nview version=\\d+ .*\n"),
                members);
    }

    /** A proxy that is no member of a fleet: status 1. */
    @Test
    void membersOfNoFleetHaveStatusOne() throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), config());
        try (ProgramRun run = new ProgramRun("serve", config.toString())) {
            String control = run.awaitLine("control on ");
            try (ProgramRun members = new ProgramRun("members", control)) {
                assertEquals(1, members.exit(), members.err());
            }
        }
    }

    /**
     * The simulator reads nothing else on standard output: each reply to the last character, as the module's choices
     * are settled by the seed.
     */
    @Test
    void adapterWritesRepliesAlone() throws Exception {
        try (ProgramRun run = new ProgramRun(Names.text("/pins/adapter-input.txt"), List.of("adapter"))) {
            assertEquals(0, run.exit(), run.err());
            assertEquals(Names.text("/pins/adapter-output.txt"), run.out());
            assertEquals("", run.err());
        }
        try (ProgramRun run = new ProgramRun("[\"turn\",8]\n[\"nonsense\",1]\n", List.of("adapter"))) {
            assertEquals(2, run.exit());
            assertEquals("", run.out());
        }
    }
}
