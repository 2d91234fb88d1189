import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases share: a temporary folder, the record, free ports, and the program's processes by the deploy file. */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long MOST_MILLIS = 114_000;

    final Path folder;
    private final PrintWriter record;
    private final long startedNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    Rig(String recordFile) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        daemon(this::endInTime);
        note("trouble=" + (TROUBLE ? 1 : 0));
    }

    /** A case may take 120 s; one that takes longer did not run. */
    private void endInTime() {
        try {
            Thread.sleep(MOST_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        end(this, 2, "the case has taken too long");
    }

    /** Milliseconds since the start of the case. */
    long ms() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    synchronized void note(String line) {
        record.println(ms() + " " + line.replace('\0', ' '));
    }

    void say(String line) {
        note(line);
        System.out.println(line);
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    /** One process of the program, started by the line of the deploy file. */
    final class Proxy {
        final String name;
        final Process process;
        final int control;

        Proxy(String name, Process process, int control) {
            this.name = name;
            this.process = process;
            this.control = control;
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("signal " + signal + " to " + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        /** What the second address answers to a call; null where nobody answers. */
        String ask(String call) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", control), 500);
                socket.setSoTimeout(1500);
                socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return null;
            }
        }

        boolean isReady() {
            String answer = ask("readyz");
            return answer != null && answer.startsWith("ok");
        }

        /** Waits until the process says that it takes clients; false where it ends or takes too long. */
        boolean awaitReady(long millis) throws InterruptedException {
            long until = ms() + millis;
            while (ms() < until && process.isAlive()) {
                if (isReady()) {
                    note(name + " is ready");
                    return true;
                }
                Thread.sleep(20);
            }
            note(name + (process.isAlive() ? " is not ready" : " has ended with status " + process.exitValue()));
            return false;
        }

        Path log() {
            return folder.resolve("log-" + name);
        }
    }

    /** Starts a process as the platform does: the line {@code run}, with an operator's file where there is one. */
    Proxy start(String name, Path config, int control, Path operator) throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("the deploy file has no run");
        }
        String run = line.group(1) + (operator == null ? "" : " --operator " + operator);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true);
        Proxy proxy;
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log-" + name).toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        proxy = new Proxy(name, process, control);
        note("start " + name + " pid=" + process.pid());
        return proxy;
    }

    /** Runs a command of the program to its end and returns its output, the status first. */
    String command(byte[] input, String... arguments) throws IOException, InterruptedException {
        List<String> line = new ArrayList<>(List.of("java", "-jar", "target/mintstair.jar"));
        line.addAll(List.of(arguments));
        Process process = new ProcessBuilder(line).redirectErrorStream(true).start();
        synchronized (processes) {
            processes.add(process);
        }
        try (OutputStream in = process.getOutputStream()) {
            in.write(input);
        }
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return process.waitFor() + " " + output;
    }

    static String target(String uid, int port, int group, String state, boolean primary) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"here\",\"model\":\"std4\","
                + "\"pod_group\":" + group + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\""
                + (primary ? "source" : "copy") + "\"}";
    }

    static String list(int revision, String... targets) {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** A platform's configuration; the settings are those of the first deployment. */
    String config(String name, int listen, int control, int discovery, String known, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"control\":\"127.0.0.1:" + control
                + "\",\"discovery\":\"127.0.0.1:" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known + ",\"settings\":" + settings
                + "}";
    }

    static String settings(int balancers) {
        return "{\"balancers\":" + balancers + ",\"position\":0,\"locality\":\"here\",\"zones\":[\"here\"],\"discovery\":\"automatic\",\"classes\":["
                + "{\"name\":\"lobby-read\",\"repeat\":\"idempotent\",\"sloS\":0.3,\"deadlineS\":1.0,\"worth\":1.0,\"lateValue\":0.2},"
                + "{\"name\":\"own-move-read\",\"repeat\":\"idempotent\",\"sloS\":0.3,\"deadlineS\":0.75,\"worth\":3.0,\"lateValue\":0.0},"
                + "{\"name\":\"season-report\",\"repeat\":\"idempotent\",\"sloS\":7.5,\"deadlineS\":15.0,\"worth\":4.0,\"lateValue\":0.2},"
                + "{\"name\":\"move-write\",\"repeat\":\"at_most_once\",\"sloS\":1.0,\"deadlineS\":2.0,\"worth\":3.0,\"lateValue\":0.3}],"
                + "\"familyInfo\":{\"classBoundS\":[0.2,0.0,0.0,0.0],\"consistency\":[\"bounded\",\"session\",\"any\",\"write\"],"
                + "\"listRole\":\"late\",\"serverChecks\":\"none\",\"sessionMarks\":\"carried\",\"tellsPosition\":true},"
                + "\"limits\":{\"maxAttempts\":8,\"cancelling\":true,\"probing\":true,\"secondCopies\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterS\":2.0,\"connectTimeoutS\":0.25,\"connIdleS\":15.0},"
                + "\"invariants\":{\"coldFrom\":0.24,\"drainGraceS\":1.0,\"fallMultiple\":3.0,\"fallS\":1.5,\"warmAfterS\":15.0},"
                + "\"prices\":{\"probe\":0.04,\"crossZone\":0.01},"
                + "\"report\":{\"fields\":[\"x0\",\"x1\",\"busy_reqs\",\"cpu_share\"],\"how\":\"probe\"}}";
    }

    /** Copies the program's logs into the record and ends every process that was started. */
    @Override
    public void close() {
        synchronized (processes) {
            for (Process process : processes) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            List<Path> all = files.sorted(Comparator.reverseOrder()).toList();
            for (Path file : all) {
                if (file.getFileName().toString().startsWith("log-")) {
                    List<String> lines = Files.readAllLines(file, StandardCharsets.ISO_8859_1);
                    lines.stream().limit(80).forEach(text -> note(file.getFileName() + ": " + text));
                }
            }
            for (Path file : all) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            note("the folder could not be removed: " + e);
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the connection has ended");
        }
        return bytes;
    }

    /** The final line and the status of a case: 1 where the rule was broken, 0 where it held, 2 where it could not run. */
    static void end(Rig rig, int status, String line) {
        rig.say((status == 0 ? "HELD " : status == 1 ? "BROKEN " : "NOT RUN ") + line);
        rig.close();
        System.exit(status);
    }
}
