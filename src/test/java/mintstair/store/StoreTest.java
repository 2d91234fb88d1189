package mintstair.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import mintstair.program.Program;
import mintstair.standin.Discovery;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three members on loopback. */
class StoreTest {
    @TempDir
    private Path folder;

    private final Map<String, InetSocketAddress> members = new LinkedHashMap<>();
    private final Map<String, Store> running = new TreeMap<>();

    @BeforeEach
    void start() throws IOException {
        for (String name : new String[] {"n1", "n2", "n3"}) {
            try (ServerSocket free = new ServerSocket(0)) {
                members.put(name, new InetSocketAddress("127.0.0.1", free.getLocalPort()));
            }
        }
        for (String name : members.keySet()) {
            start(name);
        }
    }

    private void start(String name) throws IOException {
        running.put(name, Store.member(name, members, folder.resolve(name)));
    }

    private void stop(String name) throws IOException {
        running.remove(name).close();
    }

    @AfterEach
    void stopAll() throws IOException {
        for (Store store : running.values()) {
            store.close();
        }
    }

    private String leader() {
        String[] found = new String[1];
        Program.await(
                () -> {
                    for (Map.Entry<String, Store> e : running.entrySet()) {
                        try {
                            found[0] = e.getValue().leads() ? e.getKey() : found[0];
                        } catch (IOException ex) {
                            return false;
                        }
                    }
                    return found[0] != null;
                },
                "a leader");
        return found[0];
    }

    @Test
    void entriesSurviveTheLossOfTheLeaderAndARestartOfAll() throws IOException {
        running.get("n1").put("config/a", "one");
        assertEquals("one", running.get("n2").get("config/a"));
        assertNull(running.get("n3").get("config/b"));
        stop(leader());
        Store other = running.values().iterator().next();
        other.put("config/a", "two");
        assertEquals("two", other.get("config/a"));
        for (String name : running.keySet().toArray(new String[0])) {
            stop(name);
        }
        for (String name : members.keySet()) {
            start(name);
        }
        assertEquals("two", running.get("n1").get("config/a"));
        Program.await(() -> running.values().stream().allMatch(s -> "two".equals(s.local("config/a"))), "all members");
    }

    /** A member was killed in the middle of writing what stands in for its log: the half is no snapshot, and the log is still there. */
    @Test
    void halfWrittenSnapshotIsNotReadAndWhatWasTakenIsThere() throws IOException {
        running.get("n1").put("config/a", "one");
        Program.await(() -> "one".equals(running.get("n2").local("config/a")), "the second member");
        stop("n2");
        Path snapshots;
        try (Stream<Path> files = Files.walk(folder.resolve("n2"))) {
            snapshots = files.filter(file -> file.getFileName().toString().equals("sm"))
                    .findFirst()
                    .orElseThrow();
        }
        // A count of seven entries, and none of them.
        Files.write(snapshots.resolve("snapshot.1_1"), new byte[] {0, 0, 0, 7, 0, 0});
        start("n2");
        Program.await(() -> "one".equals(running.get("n2").local("config/a")), "what was taken before");
    }

    @Test
    void minorityRefusesWritesAndKeepsWhatItHas() throws IOException {
        running.get("n1").put("state/n1", "up");
        Program.await(() -> "up".equals(running.get("n3").local("state/n1")), "the third member");
        stop("n1");
        stop("n2");
        assertThrows(IOException.class, () -> running.get("n3").put("state/n1", "down"));
        assertEquals("up", running.get("n3").local("state/n1"));
    }

    /** Guards against a bound below the lists of fleets: MongoDB's hosts are one entry. */
    @Test
    void longestEntryIsKeptByAllAndHoldsAThousandHosts() throws IOException {
        String key = "config/mongodb/hosts";
        String longest = "x".repeat(Store.LONGEST - key.length());
        assertTrue(Discovery.hosts(1024).length() < longest.length());
        running.get("n1").put(key, longest);
        Program.await(() -> running.values().stream().allMatch(s -> longest.equals(s.local(key))), "all members");
        assertThrows(IllegalArgumentException.class, () -> running.get("n1").put(key, longest + "x"));
    }
}
