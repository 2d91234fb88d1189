package mintstair.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import mintstair.program.Program;
import mintstair.standin.Discovery;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a group of three members on the loopback interface. */
class StoreTest {
    private static final int PURGE_WRITE_CHARS = 20_000;
    private static final int MAX_PURGE_WRITES = 6_000;

    @TempDir
    private Path directory;

    private final Map<String, InetSocketAddress> members = new LinkedHashMap<>();
    private final Map<String, Store> running = new TreeMap<>();

    @BeforeEach
    void startAll() throws IOException {
        for (String name : List.of("n1", "n2", "n3")) {
            try (ServerSocket free = new ServerSocket(0)) {
                members.put(name, new InetSocketAddress("127.0.0.1", free.getLocalPort()));
            }
        }
        for (String name : members.keySet()) {
            start(name);
        }
    }

    @AfterEach
    void stopAll() throws IOException {
        for (Store store : running.values()) {
            store.close();
        }
    }

    private void start(String name) throws IOException {
        running.put(name, Store.startMember(name, members, directory.resolve(name)));
    }

    private void stop(String name) throws IOException {
        running.remove(name).close();
    }

    private String awaitLeader() {
        AtomicReference<String> leader = new AtomicReference<>();
        Program.await(
                () -> {
                    try {
                        leader.set(findLeader());
                    } catch (IOException e) {
                        return false;
                    }
                    return leader.get() != null;
                },
                "a leader");
        return leader.get();
    }

    private String findLeader() throws IOException {
        for (Map.Entry<String, Store> member : running.entrySet()) {
            if (member.getValue().isLeader()) {
                return member.getKey();
            }
        }
        return null;
    }

    private void awaitLocal(String member, String key, String value) {
        Program.await(() -> value.equals(running.get(member).getLocal(key)), member + " to have " + key);
    }

    private void awaitLocalOnAll(String key, String value) {
        Program.await(
                () -> running.values().stream().allMatch(store -> value.equals(store.getLocal(key))),
                "all members to have " + key);
    }

    @Test
    void entriesSurviveTheLossOfTheLeaderAndARestartOfAllMembers() throws IOException {
        running.get("n1").put("config/a", "one");
        assertEquals("one", running.get("n2").get("config/a"));
        assertNull(running.get("n3").get("config/b"));

        stop(awaitLeader());
        Store remaining = running.values().iterator().next();
        remaining.put("config/a", "two");
        assertEquals("two", remaining.get("config/a"));

        for (String name : List.copyOf(running.keySet())) {
            stop(name);
        }
        for (String name : members.keySet()) {
            start(name);
        }
        assertEquals("two", running.get("n1").get("config/a"));
        awaitLocalOnAll("config/a", "two");
    }

    /** A crash during the write of a snapshot can leave one without a digest; its entries are still in the log. */
    @Test
    void incompleteSnapshotIsIgnoredAndTheLogIsReplayed() throws IOException {
        running.get("n1").put("config/a", "one");
        awaitLocal("n2", "config/a", "one");
        stop("n2");
        // The file declares seven entries and contains none.
        Files.write(snapshotDirectory("n2").resolve("snapshot.1_1"), new byte[] {0, 0, 0, 7, 0, 0});

        start("n2");

        awaitLocal("n2", "config/a", "one");
    }

    /** A member that has applied the index of a reading has its value, which tells when local reads may replace others. */
    @Test
    void memberThatHasAppliedTheIndexOfAReadingHasItsValue() throws IOException {
        running.get("n1").put("config/a", "one");
        stop("n3");
        running.get("n1").put("config/a", "two");
        Store.Reading reading = running.get("n2").read("config/a");
        assertEquals("two", reading.value());
        start("n3");
        Store late = running.get("n3");
        Program.await(() -> hasApplied(late, reading.commitIndex()), "the log up to " + reading.commitIndex());
        assertEquals("two", late.getLocal("config/a"));
    }

    /** Guards against the values of a member that has failed being taken for those of the group forever. */
    @Test
    void valuesOfAMemberThatHasStoppedDoNotCount() throws IOException {
        running.get("n1").put("config/a", "one");
        awaitLocal("n3", "config/a", "one");
        Store stopped = running.get("n3");
        assertTrue(stopped.isRunning() && stopped.hasApplied(0));
        stop("n3");
        assertEquals("one", stopped.getLocal("config/a"));
        assertFalse(stopped.isRunning());
        assertFalse(stopped.hasApplied(0));
    }

    private static boolean hasApplied(Store member, long index) {
        try {
            return member.hasApplied(index);
        } catch (IOException e) {
            return false;
        }
    }

    private Path snapshotDirectory(String member) throws IOException {
        try (Stream<Path> files = Files.walk(directory.resolve(member))) {
            return files.filter(file -> file.getFileName().toString().equals("sm"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    /**
     * The log has been let go, so a new leader sends the member its snapshot. Guards against a member that stops for
     * good when it installs one.
     */
    @Test
    void memberThatStartsFromNothingInstallsTheSnapshotOfANewLeader() throws IOException {
        restartFromNothingAfterPurge();
        stop(awaitLeader());
        awaitLocal("n3", "config/a", "one");

        Store writer = running.values().iterator().next();
        writer.put("config/a", "two");
        awaitLocal("n3", "config/a", "two");
    }

    /** The leader remembers what the member had before, and has to notice that it has nothing any more. */
    @Test
    void memberThatStartsFromNothingInstallsTheSnapshotOfTheSameLeader() throws IOException {
        restartFromNothingAfterPurge();
        awaitLocal("n3", "config/a", "one");
    }

    /** Empties the directory of a member that is not the leader, once the group no longer has the first entries. */
    private void restartFromNothingAfterPurge() throws IOException {
        if (awaitLeader().equals("n3")) {
            stop("n3");
            start("n3");
        }
        running.get("n1").put("config/a", "one");
        putUntilLogIsPurged();
        stop("n3");
        deleteRecursively(directory.resolve("n3"));
        start("n3");
    }

    /** Writes until the first segment of the leader's log, which ends after some entries, has been deleted. */
    private void putUntilLogIsPurged() throws IOException {
        Path log = directory.resolve(awaitLeader());
        Store writer = running.get("n1");
        for (int i = 0; i < MAX_PURGE_WRITES && hasFirstSegment(log); i++) {
            writer.put("state/" + i % 3, "x".repeat(PURGE_WRITE_CHARS));
        }
        assertFalse(hasFirstSegment(log), "the log has been let go");
    }

    private static boolean hasFirstSegment(Path member) throws IOException {
        try (Stream<Path> files = Files.walk(member)) {
            return files.map(file -> file.getFileName().toString())
                    .anyMatch(name -> name.startsWith("log_0-") || name.equals("log_inprogress_0"));
        }
    }

    private static void deleteRecursively(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @Test
    void minorityRejectsWritesAndKeepsItsEntries() throws IOException {
        running.get("n1").put("state/n1", "up");
        awaitLocal("n3", "state/n1", "up");

        stop("n1");
        stop("n2");

        IOException failure =
                assertThrows(IOException.class, () -> running.get("n3").put("state/n1", "down"));
        assertInstanceOf(NoQuorumException.class, failure);
        assertEquals("up", running.get("n3").getLocal("state/n1"));
    }

    /** The MongoDB hosts of a fleet are a single entry, so the maximum length must allow a large fleet. */
    @Test
    void longestEntryHoldsAThousandHostsAndIsReplicatedToAllMembers() throws IOException {
        String key = "config/mongodb/hosts";
        String longest = "x".repeat(Store.MAX_ENTRY_CHARS - key.length());
        assertTrue(Discovery.hosts(1024).length() < longest.length());

        running.get("n1").put(key, longest);

        awaitLocalOnAll(key, longest);
        assertThrows(IllegalArgumentException.class, () -> running.get("n1").put(key, longest + "x"));
    }
}
