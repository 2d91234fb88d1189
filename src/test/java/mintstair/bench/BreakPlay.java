package mintstair.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import mintstair.program.Program;
import mintstair.registry.etcd.EtcdMember;
import mintstair.standin.ConsulServer;
import mintstair.standin.RegistryModel;
import mintstair.standin.StandInHost;
import mintstair.standin.TcpRelay;

/** One running program with three members behind relays, changes all the time, and breaks one after the other. */
final class BreakPlay implements AutoCloseable {
    /**
     * A break: its kind, the time until the program's view had the change that was made behind it, and views that
     * were none.
     */
    record Break(String kind, double seconds, int wrong) {}

    private static final String HOSTS = "reg/postgresql/hosts/";
    private static final List<String> ETCD_KINDS = List.of(
            "cut",
            "torn",
            "refused",
            "silent",
            "lagging",
            "compacted",
            "no leader",
            "restored",
            "replaced",
            "majority lost");
    private static final List<String> CONSUL_KINDS =
            List.of("cut", "torn", "refused", "silent", "status 503", "no leader", "restored", "majority lost");
    private final Random dice;
    private final boolean etcd;
    private final int keys;
    private final RegistryModel model = new RegistryModel();
    private final List<EtcdMember> members = new ArrayList<>();
    private final List<ConsulServer> servers = new ArrayList<>();
    private final List<TcpRelay> relays = new ArrayList<>();
    private final Program program;
    /** The digest of the list at each revision, of all histories that there have been. */
    private final Map<Long, List<Long>> digests = new HashMap<>();

    private final Map<String, Long> parts = new HashMap<>();
    private long digest;
    private volatile boolean over;
    private volatile boolean paused;

    BreakPlay(long seed, boolean etcd, int keys, int changesPerSecond) throws IOException {
        dice = new Random(seed);
        this.etcd = etcd;
        this.keys = keys;
        StringBuilder endpoints = new StringBuilder();
        TreeMap<String, String> all = new TreeMap<>();
        for (int i = 0; i < keys; i++) {
            all.put(HOSTS + "h" + i, host(i, 0));
        }
        change(all);
        for (int m = 0; m < 3; m++) {
            if (etcd) {
                members.add(new EtcdMember(model));
            } else {
                servers.add(new ConsulServer(model, null));
            }
            relays.add(
                    new TcpRelay(etcd ? members.get(m).port() : servers.get(m).port()));
            endpoints
                    .append(m == 0 ? "" : ",")
                    .append("\"127.0.0.1:")
                    .append(relays.get(m).port())
                    .append('"');
        }
        // No probes: the hosts of this list are only names.
        program = Program.serve(
                1,
                "",
                false,
                "{\"registry\":{\"kind\":\"" + (etcd ? "etcd" : "consul") + "\",\"endpoints\":[" + endpoints
                        + "],\"prefix\":\"reg/\"}}");
        program.awaitFigure("registry_live=1");
        StandInHost.daemon(() -> changes(changesPerSecond));
    }

    private static String host(int i, long version) {
        return "{\"uid\":\"h" + i + "\",\"endpoint\":\"127.0.0.1:5432\",\"az\":\"a\",\"model\":\"m2\",\"pod_group\":"
                + i % 50 + ",\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":" + version
                + ",\"rank\":\"copy\"}";
    }

    /** As the second address tells it, worked out here from what the values say. */
    private static long part(String key, int i, long version) {
        long hash = Objects.hash(key, "127.0.0.1:5432", "a", i % 50, "SERVING", false, 1.0, version * 1000);
        return hash * 0x9E3779B97F4A7C15L ^ hash;
    }

    private synchronized long change(Map<String, String> values) {
        long at = model.change(values);
        values.forEach((key, value) -> {
            digest -= parts.getOrDefault(key, 0L);
            parts.remove(key);
            if (value != null) {
                int i = Integer.parseInt(key.substring((HOSTS + "h").length()));
                long version = Long.parseLong(value.replaceAll(".*boot_ms\":(\\d+).*", "$1"));
                parts.put(key, part(key, i, version));
                digest += parts.get(key);
            }
        });
        digests.computeIfAbsent(at, r -> new ArrayList<>()).add(digest);
        return at;
    }

    /** Puts, deletions and transactions of several. */
    private void changes(int perSecond) {
        Random own = new Random(dice.nextLong());
        long next = System.nanoTime();
        long version = 1;
        while (!over) {
            if (!paused) {
                Map<String, String> values = new TreeMap<>();
                for (int n = own.nextInt(10) == 0 ? 3 : 1; n > 0; n--) {
                    int i = own.nextInt(keys);
                    values.put(HOSTS + "h" + i, own.nextInt(8) == 0 ? null : host(i, version++));
                }
                change(values);
            }
            next += 1_000_000_000L / perSecond;
            try {
                Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    List<Break> play(int count) throws IOException {
        List<String> kinds = etcd ? ETCD_KINDS : CONSUL_KINDS;
        List<Break> breaks = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            breaks.add(one(kinds.get(n % kinds.size())));
        }
        return breaks;
    }

    private Break one(String kind) throws IOException {
        int at = (int) figures().getOrDefault("registry_endpoint", 0L).longValue();
        TcpRelay there = relays.get(at);
        long from = System.nanoTime();
        switch (kind) {
            case "cut" -> there.closeAll();
            case "torn" -> there.closeAfter(1 + dice.nextInt(2_000));
            case "refused" -> there.setRefusing(true);
            case "silent" -> there.setSilent(true);
            case "lagging" -> members.get(at).lagsAt = model.revision;
            case "status 503" -> servers.get(at).status = 503;
            case "no leader" -> leader(at, false);
            case "compacted" -> {
                there.closeAll();
                RegistryBench.pause(5);
                model.compact(model.revision);
            }
            case "restored", "replaced" -> restore(kind.equals("replaced"));
            default -> {
                // Lost for all: the time counts from when it is back.
                for (int m = 0; m < 3; m++) {
                    leader(m, false);
                }
                RegistryBench.pause(700);
                for (int m = 0; m < 3; m++) {
                    leader(m, true);
                }
                from = System.nanoTime();
            }
        }
        long marked = change(Map.of(HOSTS + "h0", host(0, System.nanoTime())));
        int wrong = 0;
        Map<String, Long> seen = figures();
        double seconds = 0;
        while (seen.get("registry_revision") < marked || !held(seen) || isBefore(seen)) {
            wrong += held(seen) ? 0 : 1;
            seconds = (System.nanoTime() - from) / 1e9;
            if (seconds > 20) {
                throw new IOException(kind + ": the view never matches: " + seen + ", wanted " + marked);
            }
            RegistryBench.pause(5);
            seen = figures();
        }
        seconds = (System.nanoTime() - from) / 1e9;
        heal(at);
        return new Break(kind, seconds, wrong);
    }

    private long epochAt;

    /** A history that was set back is shown once the program has counted that. */
    private boolean isBefore(Map<String, Long> seen) {
        return seen.get("registry_set_back") + seen.get("registry_replaced") < epochAt;
    }

    private void restore(boolean replaced) {
        synchronized (this) {
            paused = true;
            long back = Math.max(1, model.revision - 40);
            model.restore(back, replaced ? model.cluster + 1 : model.cluster);
            parts.clear();
            digest = 0;
            model.now().forEach((key, item) -> {
                String value = new String(item.value(), UTF_8);
                parts.put(
                        key,
                        part(
                                key,
                                Integer.parseInt(key.substring((HOSTS + "h").length())),
                                Long.parseLong(value.replaceAll(".*boot_ms\":(\\d+).*", "$1"))));
                digest += parts.get(key);
            });
            digests.computeIfAbsent(back, r -> new ArrayList<>()).add(digest);
            epochAt++;
            paused = false;
        }
        relays.forEach(TcpRelay::closeAll);
    }

    private void leader(int member, boolean known) {
        if (etcd) {
            members.get(member).noLeader = !known;
        } else {
            servers.get(member).noLeader = !known;
        }
    }

    private void heal(int at) throws IOException {
        relays.get(at).setRefusing(false);
        relays.get(at).setSilent(false);
        relays.get(at).closeAfter(-1);
        if (etcd) {
            members.get(at).lagsAt = -1;
        } else {
            servers.get(at).status = 0;
        }
        leader(at, true);
        // The next break is to meet a view that follows, not one that looks for an endpoint.
        long end = System.nanoTime() + 3_000_000_000L;
        while (figures().get("registry_age_ms") > 500 && System.nanoTime() < end) {
            RegistryBench.pause(5);
        }
    }

    /** Whether what is shown is what the registry held at that revision. */
    private synchronized boolean held(Map<String, Long> seen) {
        Long at = seen.get("registry_revision");
        for (long r = at; r > at - 3 && r > 0; r--) {
            // A progress may show a revision whose change is being noted here just now, or one that changed nothing
            // here.
            if (digests.getOrDefault(r, List.of()).contains(seen.get("registry_digest"))) {
                return true;
            }
        }
        return false;
    }

    private Map<String, Long> figures() throws IOException {
        Map<String, Long> figures = new HashMap<>();
        for (String line : program.call("telemetry\n").split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                figures.put(line.substring("svc.".length(), equals), Long.parseLong(line.substring(equals + 1)));
            }
        }
        return figures;
    }

    @Override
    public void close() throws IOException {
        over = true;
        program.close();
        for (TcpRelay each : relays) {
            each.close();
        }
        members.forEach(EtcdMember::close);
        servers.forEach(ConsulServer::close);
    }
}
