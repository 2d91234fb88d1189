import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A group of db hosts that hold the same data: one primary and replicas. A replica has the log a few milliseconds late,
 * and applies nothing while it holds a season-report.
 */
final class Replicated {
    static final long SHIP_MILLIS = 10;

    private record Version(long commitMillis, String value) {}

    private final Map<String, List<Version>> versions = new ConcurrentHashMap<>();
    private final Rig rig;
    final Pg.Host primary;
    final List<Pg.Host> replicas = new ArrayList<>();

    Replicated(Rig rig, int replicaCount) throws IOException {
        this.rig = rig;
        primary = new Pg.Host("db-0", true, this::serve);
        for (int i = 1; i <= replicaCount; i++) {
            Pg.Host replica = new Pg.Host("db-" + i, false, this::serve);
            replica.lagMillis = SHIP_MILLIS;
            replicas.add(replica);
        }
    }

    String targets() {
        StringBuilder targets = new StringBuilder(Rig.target(primary.name, primary.port, 1, "SERVING", true));
        for (Pg.Host replica : replicas) {
            targets.append(',').append(Rig.target(replica.name, replica.port, 1, "SERVING", false));
        }
        return targets.toString();
    }

    private String serve(Pg.Host host, String id, String statement) throws Exception {
        String key = statement.split("'")[1];
        if (statement.startsWith("INSERT")) {
            String value = statement.split("'")[3];
            Thread.sleep(5);
            synchronized (versions) {
                versions.computeIfAbsent(key, k -> new ArrayList<>()).add(new Version(System.currentTimeMillis(), value));
            }
            rig.note(host.name + " has committed " + key + " = " + value + " for " + id);
            return value;
        }
        if (statement.contains("c=season-report")) {
            if (host.primary) {
                Thread.sleep(1500);
            } else {
                host.hold();
                try {
                    Thread.sleep(1500);
                } finally {
                    host.release();
                }
            }
            return "report";
        }
        long position = host.positionMillis();
        String value = "none";
        synchronized (versions) {
            for (Version version : versions.getOrDefault(key, List.of())) {
                if (host.primary || version.commitMillis <= position) {
                    value = version.value;
                }
            }
        }
        rig.note(host.name + " answers " + id + " with " + key + " = " + value);
        Thread.sleep(5);
        return value;
    }
}
