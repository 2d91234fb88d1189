package mintstair.registry;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mintstair.config.ConfigException;
import mintstair.config.Json;
import mintstair.config.ListReader;
import mintstair.config.RegistryConfig;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryKeys;
import mintstair.registry.view.Snapshot;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import mintstair.request.EndpointList;
import mintstair.time.WallClock;

/** What operators do with a registry from the command line. Changes are made only to the entry that was read: a lost race is told. */
public final class RegistryCommand {
    /** A race that was lost: nothing was changed. */
    public static final int LOST = 1;

    private static final long PATIENCE_MILLIS = 3_000;

    private final RegistryConfig config;
    private final RegistryKeys names;
    private final PrintStream out;

    public RegistryCommand(RegistryConfig config, PrintStream out) {
        this.config = config;
        this.out = out;
        names = new RegistryKeys(config.prefix(), config.fronts());
    }

    /** Carries out one command; returns the status to end with. */
    public int run(String name, List<String> words) throws IOException {
        List<String> rest = new ArrayList<>(words);
        String front = option(rest, "--front", config.fronts().get(0));
        long expected = number(option(rest, "--if-revision", "-1"));
        if (!config.fronts().contains(front)) {
            throw new ConfigException("the registry lists no hosts of " + front);
        }
        boolean one = rest.size() == 1;
        if (name.equals("show") && rest.isEmpty()) {
            return show();
        } else if (name.equals("watch") && rest.isEmpty()) {
            return watch();
        } else if (name.equals("put-host") && one) {
            return put(front, rest.get(0), expected);
        } else if (name.equals("drain") && one) {
            return drain(front, rest.get(0));
        } else if (name.equals("delete") && one) {
            return delete(front, rest.get(0));
        }
        throw new ConfigException("registry: show | watch | put-host [--front FRONT] [--if-revision N] JSON"
                + " | drain [--front FRONT] UID | delete [--front FRONT] UID");
    }

    private static String option(List<String> words, String name, String otherwise) {
        int at = words.indexOf(name);
        if (at < 0 || at + 1 >= words.size()) {
            return otherwise;
        }
        words.remove(at);
        return words.remove(at);
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new ConfigException("no revision: " + text);
        }
    }

    private int put(String front, String json, long expected) throws IOException {
        byte[] value = json.getBytes(StandardCharsets.UTF_8);
        String uid = entry(value).host();
        try (RegistryEditor editor = RegistryClient.editor(config)) {
            RegistryEntry before = editor.get(names.hostKey(front, uid));
            long read = before == null ? 0 : before.modRevision();
            if (expected >= 0 && read != expected) {
                return lost(uid + " is at revision " + read + ", not " + expected);
            }
            return change(
                    editor.put(names.hostKey(front, uid), value, read),
                    uid + (before == null ? " is added" : " is changed"));
        }
    }

    private int drain(String front, String uid) throws IOException {
        try (RegistryEditor editor = RegistryClient.editor(config)) {
            RegistryEntry before = present(editor, front, uid);
            Map<String, Object> host = new TreeMap<>();
            ((Map<?, ?>) Json.read(before.value())).forEach((key, value) -> host.put(key.toString(), value));
            if ("DRAINING".equals(host.put("state", "DRAINING"))) {
                out.println(uid + " drains already");
                return 0;
            }
            byte[] value = Json.write(host).getBytes(StandardCharsets.UTF_8);
            return change(editor.put(before.key(), value, before.modRevision()), uid + " drains");
        }
    }

    private int delete(String front, String uid) throws IOException {
        try (RegistryEditor editor = RegistryClient.editor(config)) {
            RegistryEntry before = present(editor, front, uid);
            return change(editor.delete(before.key(), before.modRevision()), uid + " is deleted");
        }
    }

    private RegistryEntry present(RegistryEditor editor, String front, String uid) throws IOException {
        RegistryEntry before = editor.get(names.hostKey(front, uid));
        if (before == null) {
            throw new ConfigException("no host " + uid);
        }
        entry(before.value());
        return before;
    }

    private static EndpointList.Entry entry(byte[] value) throws IOException {
        if (!(Json.read(value) instanceof Map<?, ?> map)) {
            throw new ConfigException("a host must be an object");
        }
        return ListReader.entry(map);
    }

    private int change(boolean made, String what) {
        if (!made) {
            return lost("the entry was changed by another meanwhile");
        }
        out.println(what);
        return 0;
    }

    private int lost(String why) {
        System.err.println("mintstair: nothing was changed: " + why);
        return LOST;
    }

    /** One line a change, until the program is ended. */
    private int watch() {
        CountDownLatch never = new CountDownLatch(1);
        try (RegistryClient client = new RegistryClient(
                apart(), ViewTimeouts.DEFAULT, System.nanoTime(), (told, view) -> told.forEach(this::print))) {
            client.start();
            never.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    private void print(ViewUpdate told) {
        if (told instanceof ViewUpdate.Endpoints h) {
            for (EndpointList.Entry e : h.list().entries()) {
                out.println(h.list().revision() + " " + h.front() + " " + e.host() + " " + e.state() + " "
                        + e.endpoint() + " group=" + e.cluster() + (e.primary() ? " primary" : ""));
            }
        } else if (told instanceof ViewUpdate.Settings s) {
            out.println(s.revision() + " settings " + s.text().length + " bytes");
        } else if (told instanceof ViewUpdate.LogLine line) {
            System.err.println(line.text());
        }
    }

    /** What the registry holds now, or else what the last run knew, and how each endpoint does. */
    private int show() {
        CountDownLatch live = new CountDownLatch(1);
        TreeMap<String, String> hosts = new TreeMap<>();
        try (RegistryClient client =
                new RegistryClient(apart(), ViewTimeouts.DEFAULT, System.nanoTime(), (told, view) -> {
                    for (ViewUpdate each : told) {
                        if (each instanceof ViewUpdate.Endpoints h && !h.cached()) {
                            h.list().entries().forEach(e -> hosts.put(h.front() + " " + e.host(), line(e)));
                            live.countDown();
                        }
                    }
                })) {
            client.start();
            boolean reached = live.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            ViewMetrics figures = client.metrics();
            if (!reached) {
                out.println("the registry is not reached; last break: " + figures.lastFailure());
                fromSnapshot();
            } else {
                out.println("revision " + figures.revision() + ", cluster "
                        + Long.toUnsignedString(figures.clusterId(), 16) + ", " + figures.hosts() + " hosts, age "
                        + figures.ageMicros() / 1000 + " ms, digest " + figures.digest());
                hosts.forEach((name, line) -> out.println(name + " " + line));
            }
            if (figures.lastFailureAtMicros() >= 0) {
                out.println("last break: " + figures.lastFailure());
            }
            for (InetSocketAddress each : config.endpoints()) {
                out.println("endpoint " + each.getHostString() + ":" + each.getPort() + " " + state(each));
            }
            return reached ? 0 : LOST;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return LOST;
        }
    }

    private void fromSnapshot() {
        Snapshot kept = null;
        try {
            kept = config.snapshot() == null ? null : new SnapshotFile(config.snapshot()).read(config.prefix());
        } catch (IOException e) {
            out.println(config.snapshot() + ": " + e.getMessage());
        }
        if (kept == null) {
            out.println("nothing is kept of an earlier run");
            return;
        }
        long age = Math.max(0, WallClock.millis() - kept.confirmedAtMicros() / 1000);
        out.println("as kept: revision " + kept.revision() + ", "
                + kept.entries().size() + " entries, age " + String.format(Locale.ROOT, "%.1f s", age / 1e3));
        kept.entries().forEach(item -> out.println(item.key() + " at " + item.modRevision()));
    }

    private static String line(EndpointList.Entry e) {
        return e.state() + " " + e.endpoint() + " group=" + e.cluster() + (e.primary() ? " primary" : "");
    }

    private String state(InetSocketAddress endpoint) {
        RegistryConfig only = new RegistryConfig(
                config.kind(),
                List.of(endpoint),
                config.prefix(),
                config.fronts(),
                config.user(),
                config.secret(),
                config.tls(),
                null,
                config.snapshotEveryMicros());
        try (RegistryEditor editor = RegistryClient.editor(only)) {
            editor.get(names.settingsKey());
            return "answers";
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    /** The same registry, with nothing kept: the daemon's file is the daemon's. */
    private RegistryConfig apart() {
        return new RegistryConfig(
                config.kind(),
                config.endpoints(),
                config.prefix(),
                config.fronts(),
                config.user(),
                config.secret(),
                config.tls(),
                null,
                config.snapshotEveryMicros());
    }
}
