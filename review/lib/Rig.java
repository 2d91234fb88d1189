import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What all cases share: the record, the proxies as processes of their own, and the end of all that was started. */
public final class Rig implements Closeable {
    private static final long STARTED = System.nanoTime();

    /** Whether the case plays its disruption. */
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final Path root = Path.of(System.getProperty("root"));
    private final Path folder;
    private final BufferedWriter record;
    private final List<Proxy> proxies = new ArrayList<>();

    public Rig(Path recordFile) throws IOException {
        record = Files.newBufferedWriter(recordFile);
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
        note("trouble: " + (TROUBLE ? "on" : "off"));
    }

    /** Milliseconds since the start of the case. */
    public static long millis() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    /** Writes one line to the record. */
    public void note(String line) {
        synchronized (record) {
            try {
                record.write(String.format("%8d ms  %s%n", millis(), line));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Writes the line to the record and to standard output. */
    public void say(String line) {
        note(line);
        System.out.println(line);
    }

    /** Ends everything and the program with this status. */
    public void exit(int status) throws IOException {
        say("result: " + (status == 0 ? "held" : status == 1 ? "broken" : "could not run"));
        close();
        Runtime.getRuntime().halt(status);
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A port that was free a moment ago. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** A temporary folder that goes with the case. */
    public Path folder(String name) throws IOException {
        return Files.createDirectories(folder.resolve(name));
    }

    /** The line by which the platform starts a proxy. */
    private String runLine() throws IOException {
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("the deploy file has no run");
        }
        return line.group(1);
    }

    /** Starts a proxy as the deploy file says, with an operator's file unless that is null, and waits until it serves. */
    public Proxy start(String name, String config, String operator) throws IOException {
        Proxy proxy = new Proxy(name, config, operator);
        proxies.add(proxy);
        return proxy;
    }

    /** One proxy process. */
    public final class Proxy {
        public final String name;
        public final Process process;
        public final List<String> printed = new ArrayList<>();
        public final Path config;

        Proxy(String name, String text, String operator) throws IOException {
            this.name = name;
            Path own = Files.createDirectories(folder.resolve(name + "-" + proxies.size()));
            config = Files.writeString(own.resolve("config.json"), text);
            String command = runLine();
            if (operator != null) {
                command += " --operator " + Files.writeString(own.resolve("operator.json"), operator);
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                    .directory(root.toFile())
                    .redirectErrorStream(true);
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("NODE_NAME", name);
            builder.environment().put("TMPDIR", Files.createDirectories(own.resolve("tmp")).toString());
            process = builder.start();
            note("proxy " + name + ": process " + process.pid());
            daemon(this::read);
        }

        private void read() {
            try (BufferedReader out =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                    note("proxy " + name + " prints: " + line);
                    synchronized (printed) {
                        printed.add(line);
                    }
                }
            } catch (IOException e) {
                // The process is gone.
            }
        }

        /** Whether a line with this text was printed. */
        public boolean printed(String text) {
            synchronized (printed) {
                return printed.stream().anyMatch(line -> line.contains(text));
            }
        }

        /** Waits until a line with this text was printed so many times; false if that does not come in time. */
        public boolean await(String text, int times, long withinMillis) {
            for (long end = millis() + withinMillis; millis() < end; sleep(10)) {
                synchronized (printed) {
                    if (printed.stream().filter(line -> line.contains(text)).count() >= times) {
                        return true;
                    }
                }
            }
            return false;
        }

        /** Sends a signal by its name, to this process alone. */
        public void signal(String signal) throws IOException {
            note("signal " + signal + " to proxy " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** What the second address of a proxy answers. */
    public static String control(int port, String words) throws IOException {
        try (Socket caller = new Socket("127.0.0.1", port)) {
            caller.setSoTimeout(3_000);
            caller.getOutputStream().write((words + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void endAll() {
        for (Proxy proxy : proxies) {
            proxy.process.destroyForcibly();
        }
        for (Proxy proxy : proxies) {
            try {
                proxy.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is gone already.
        }
    }

    @Override
    public void close() throws IOException {
        endAll();
        synchronized (record) {
            record.flush();
        }
    }

    /** The settings of a small deployment, as in the project's example: classes, limits and figures of the site. */
    public static String settings() throws IOException {
        String example = Files.readString(Path.of(System.getProperty("root"), "example/config.json"));
        String settings = example.substring(example.indexOf("\"settings\":"));
        return settings.substring(settings.indexOf('{'), settings.lastIndexOf('}')).strip();
    }

    /** The configuration of one proxy; {@code targets} is the list of hosts as last known. */
    public static String config(
            String name, int listen, int control, int discovery, String targets, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"control\":\"127.0.0.1:" + control
                + "\",\"discovery\":\"127.0.0.1:" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]},\"settings\":" + settings + "}";
    }

    /** Makes a map of pairs. */
    static Map<String, String> map(String... pairs) {
        Map<String, String> map = new java.util.HashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put(pairs[i], pairs[i + 1]);
        }
        return map;
    }
}
