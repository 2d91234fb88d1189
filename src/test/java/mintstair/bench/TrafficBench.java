package mintstair.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;
import mintstair.pcap.DropCounters;
import mintstair.pcap.PcapWriter;
import mintstair.pcap.SerialReplay;
import mintstair.program.Program;
import mintstair.standin.Client;
import mintstair.standin.MongoHost;
import mintstair.standin.PgHost;
import mintstair.traffic.Comparison;
import mintstair.traffic.RecordedExchange;
import mintstair.traffic.Recording;
import mintstair.traffic.Recording.Protocol;
import mintstair.traffic.ReplayOptions;
import mintstair.traffic.Replayer;
import mintstair.traffic.TimeLine;
import mintstair.wire.MongoMessage;
import mintstair.wire.PgWriter;
import org.HdrHistogram.Histogram;
import org.bson.BsonArray;
import org.bson.BsonDocument;
import org.bson.BsonInt64;
import org.bson.BsonString;

/**
 * A run of all classes over both fronts is recorded by the running program, read, replayed against another one, and
 * compared. MetricsSnapshot last; status 1 where an aim is missed.
 */
public final class TrafficBench {
    private static final String[] CLASSES = {"bounded", "session", "any", "write"};
    private static final int RATE = 1_500;
    private static final long GIGABYTE = 1L << 30;
    private static boolean missed;

    private TrafficBench() {}

    /** What one front was asked, and what came of it. */
    private record Run(List<Replayer.Played> played, Histogram lateness, Histogram latency, int notSent) {}

    public static void main(String[] args) throws Exception {
        int each = Arrays.asList(args).contains("--full") ? 100_000 : 10_000;
        Path folder = Files.createTempDirectory("mintstair");
        try (PgHost p = new PgHost("p", true, far());
                PgHost r = new PgHost("r", false, far());
                MongoHost m = new MongoHost("m", true, far());
                MongoHost n = new MongoHost("n", false, far())) {
            for (var host : List.of(p, r, m, n)) {
                host.repliesWithKey = true;
            }
            String pg = p.listed("SERVING") + "," + r.listed("SERVING");
            String mongo = "\"mongodb\":{\"listen\":\"127.0.0.1:0\",\"hosts\":{\"rev\":1,\"all\":true,\"targets\":["
                    + m.listed("SERVING") + "," + n.listed("SERVING") + "]}}";
            List<RecordedExchange> pgLoad = load(each, Protocol.POSTGRESQL);
            List<RecordedExchange> mongoLoad = load(each, Protocol.MONGODB);
            int[] ports = new int[2];
            Run[] recorded;
            try (Program program = Program.serve(
                    1,
                    pg,
                    false,
                    "{" + mongo + ",\"record\":{\"folder\":\"" + folder
                            + "\",\"hosts\":true,\"file_bytes\":4000000000,\"total_bytes\":8000000000}}")) {
                warm(program, pgLoad, mongoLoad);
                recorded = both(program, pgLoad, mongoLoad, ports);
                program.end();
            }
            Run[] plain;
            try (Program program = Program.serve(1, pg, false, "{" + mongo + "}")) {
                warm(program, pgLoad, mongoLoad);
                plain = both(program, pgLoad, mongoLoad, new int[2]);
            }
            List<RecordedExchange> pgRead = read(folder, ports[0], Protocol.POSTGRESQL);
            List<RecordedExchange> mongoRead = read(folder, ports[1], Protocol.MONGODB);
            figure("recorded_requests", pgRead.size() + mongoRead.size());
            aim("recorded_requests", pgRead.size() == each && mongoRead.size() == each);
            try (Program program = Program.serve(1, pg, false, "{" + mongo + "}")) {
                warm(program, pgLoad, mongoLoad);
                Run[] replayed = both(program, pgRead, mongoRead, new int[2]);
                compare(replayed);
                serial(folder, ports[0], program.port(0));
            }
            figure("timer_error_us_p99", timerError());
            latency("recording_on", recorded);
            latency("recording_off", plain);
        } finally {
            delete(folder);
        }
        reading();
        System.exit(missed ? 1 : 0);
    }

    private static long far() {
        return System.currentTimeMillis() + 3_600_000;
    }

    /** Requests of all classes, as from 40 connections, at random distances. */
    private static List<RecordedExchange> load(int count, Protocol protocol) {
        Random dice = new Random(protocol.ordinal());
        List<RecordedExchange> all = new ArrayList<>();
        double at = 1.7e18;
        for (int i = 0; i < count; i++) {
            at += -Math.log(1 - dice.nextDouble()) * 1e9 / RATE;
            String requestClass = CLASSES[dice.nextInt(4)];
            boolean write = requestClass.equals("write");
            String session = String.format("%08x", dice.nextInt(500));
            String comment = "id=i" + i + ",c=" + requestClass + ",cluster=1";
            byte[] message = protocol == Protocol.POSTGRESQL
                    ? Client.Pg.query(Client.Pg.words(write, comment, 2_000).replace("'7f'", "'" + session + "'"))
                    : command(write, comment + ",session=" + session, session);
            all.add(new RecordedExchange(
                    dice.nextInt(40),
                    (long) at,
                    (long) at + 1_000_000,
                    "i" + i,
                    requestClass,
                    1,
                    session,
                    write,
                    false,
                    2_000,
                    -1,
                    RecordedExchange.Result.SERVED,
                    0,
                    0,
                    message));
        }
        return all;
    }

    private static byte[] command(boolean write, String comment, String key) {
        BsonDocument entry = new BsonDocument("ref", new BsonString(key));
        BsonDocument c = write
                ? new BsonDocument("insert", new BsonString("e")).append("documents", new BsonArray(List.of(entry)))
                : new BsonDocument("find", new BsonString("e")).append("filter", entry);
        return MongoMessage.opMsg(
                c.append("comment", new BsonString(comment))
                        .append("maxTimeMS", new BsonInt64(2_000))
                        .append("$db", new BsonString("orders")),
                0);
    }

    /** A program that has just started is slow for reasons of its own. */
    private static void warm(Program program, List<RecordedExchange> pg, List<RecordedExchange> mongo)
            throws IOException {
        both(program, pg.subList(0, 1_500), mongo.subList(0, 1_500), new int[2], "warm");
    }

    private static Run[] both(Program program, List<RecordedExchange> pg, List<RecordedExchange> mongo, int[] ports)
            throws IOException {
        return both(program, pg, mongo, ports, "run");
    }

    private static Run[] both(
            Program program, List<RecordedExchange> pg, List<RecordedExchange> mongo, int[] ports, String run)
            throws IOException {
        ports[0] = program.port(0);
        ports[1] = program.port(1);
        CompletableFuture<Run> second =
                CompletableFuture.supplyAsync(() -> play(mongo, ports[1], Protocol.MONGODB, run + "m"));
        Run first = play(pg, ports[0], Protocol.POSTGRESQL, run + "p");
        return new Run[] {first, second.join()};
    }

    private static Run play(List<RecordedExchange> all, int port, Protocol protocol, String run) {
        try (Replayer replayer =
                new Replayer(all, ReplayOptions.ALL, new InetSocketAddress("127.0.0.1", port), protocol, run)) {
            List<Replayer.Played> played = replayer.play();
            Histogram latency = new Histogram(60_000_000, 3);
            played.forEach(p -> latency.recordValue(Math.max(0, p.replayed().latencyNanos() / 1000)));
            return new Run(played, replayer.lateness(), latency, (int) replayer.schedule().requests().stream()
                    .filter(x -> x.sentNanos() < 0)
                    .count());
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    /** What the files hold of the run, without the warming up. */
    private static List<RecordedExchange> read(Path folder, int port, Protocol protocol) throws IOException {
        List<RecordedExchange> all = new ArrayList<>();
        DropCounters losses = new DropCounters();
        try (Stream<Path> files = Files.list(folder)) {
            Recording.read(
                    files.sorted().toList(),
                    false,
                    () -> new TimeLine(Long.MAX_VALUE),
                    Map.of(port, protocol),
                    losses,
                    e -> {
                        if (e.id().startsWith("run")) {
                            all.add(e);
                        }
                    });
        }
        System.out.println("read " + all.size() + " of port " + port + ", lost: "
                + (losses.toString().isEmpty() ? "nothing" : losses));
        return all;
    }

    private static void compare(Run[] replayed) {
        Comparison comparison = new Comparison();
        Histogram lateness = new Histogram(60_000_000, 3);
        int notSent = 0;
        for (Run run : replayed) {
            run.played.forEach(p -> comparison.add(p.scheduled().recorded(), p.replayed()));
            lateness.add(run.lateness);
            notSent += run.notSent;
        }
        System.out.print(comparison);
        System.out.println("lateness in us: p50 " + lateness.getValueAtPercentile(50) + ", p90 "
                + lateness.getValueAtPercentile(90) + ", p99 " + lateness.getValueAtPercentile(99) + ", p99.9 "
                + lateness.getValueAtPercentile(99.9) + ", most " + lateness.getMaxValue());
        figure("replayed_pairs", (double) comparison.pairs());
        figure("replay_not_sent", notSent);
        figure("replay_other_answers", (double)
                (comparison.count(Comparison.Divergence.ANSWER) + comparison.count(Comparison.Divergence.VALUE)));
        figure("replay_lateness_us_p99", (double) lateness.getValueAtPercentile(99));
        aim("replay_other_answers", comparison.isSame() && notSent == 0);
        aim("replay_lateness_us_p99", lateness.getValueAtPercentile(99) <= 1_000);
    }

    /** The replay that there was before: one request after the other. */
    private static void serial(Path folder, int captured, int port) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            Path file = files.sorted().findFirst().orElseThrow();
            long begun = System.nanoTime();
            System.out.println("serial replay: "
                    + new SerialReplay(new InetSocketAddress("127.0.0.1", port), false).play(file, captured));
            figure("serial_replay_s", (System.nanoTime() - begun) / 1e9);
        }
    }

    /** How late this machine wakes up one that waits as the replay does. */
    private static double timerError() throws IOException {
        Histogram late = new Histogram(60_000_000, 3);
        for (int i = 0; i < 400; i++) {
            long due = System.nanoTime() + 5_000_000;
            RegistryBench.pause(3);
            while (System.nanoTime() < due) {
                Thread.onSpinWait();
            }
            late.recordValue((System.nanoTime() - due) / 1000);
        }
        return late.getValueAtPercentile(99);
    }

    private static void latency(String name, Run[] runs) {
        Histogram all = new Histogram(60_000_000, 3);
        for (Run run : runs) {
            all.add(run.latency);
        }
        figure(name + "_latency_us_p50", (double) all.getValueAtPercentile(50));
        figure(name + "_latency_us_p99", (double) all.getValueAtPercentile(99));
    }

    /** A file of 1 GB, read by the program with 64 MB of heap. */
    private static void reading() throws Exception {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try {
            byte[] answer = new PgWriter()
                    .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                    .message('D', '\0', '\1', 1_500, "v".repeat(1_500).getBytes(StandardCharsets.US_ASCII))
                    .message('C', "SELECT 1")
                    .ready()
                    .bytes();
            long requests = 0;
            try (PcapWriter out = new PcapWriter(file, GIGABYTE)) {
                List<PcapWriter.Conversation> all = new ArrayList<>();
                long time = 1_700_000_000_000_000L;
                for (int c = 0; c < 200; c++) {
                    PcapWriter.Conversation one = out.begin(
                            time,
                            new InetSocketAddress("127.0.0.1", 10_000 + c),
                            new InetSocketAddress("127.0.0.1", 5433));
                    one.sent(time, true, Client.Pg.startup());
                    one.sent(time, false, new PgWriter().message('R', 0).ready().bytes());
                    all.add(one);
                }
                for (; requests * 2_000 < GIGABYTE; requests++) {
                    PcapWriter.Conversation one = all.get((int) (requests % 200));
                    one.sent(
                            time += 100,
                            true,
                            Client.Pg.query(Client.Pg.words(false, "id=" + requests + ",c=any,cluster=1", 500)));
                    one.sent(time += 100, false, answer);
                }
            }
            long begun = System.nanoTime();
            Process reader = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx64m",
                            "-XX:+UseSerialGC",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "mintstair.Main",
                            "traffic",
                            "info",
                            file.toString())
                    .redirectErrorStream(true)
                    .start();
            String told = new String(reader.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            double seconds = (System.nanoTime() - begun) / 1e9;
            System.out.print(told);
            figure("reading_mb_per_s", Files.size(file) / 1e6 / seconds);
            figure("reading_file_mb", Files.size(file) / 1e6);
            figure("reading_heap_mb_at_most", 64);
            aim("reading", reader.waitFor() == 0 && told.contains("connections=200"));
        } finally {
            Files.delete(file);
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private static void figure(String name, double value) {
        System.out.println(name + "="
                + (value == Math.rint(value)
                        ? String.format(Locale.ROOT, "%.0f", value)
                        : String.format(Locale.ROOT, "%.2f", value)));
    }

    private static void aim(String name, boolean met) {
        if (!met) {
            System.out.println("missed: " + name);
            missed = true;
        }
    }
}
