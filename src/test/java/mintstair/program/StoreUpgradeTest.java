package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import mintstair.config.NodeConfig;
import mintstair.standin.Client;
import mintstair.standin.MongoHost;
import mintstair.store.Store;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Upgrades and restarts of a proxy that is a member of a store. Guards against a new process that ends because the old
 * one is the member still, or that serves the operator's list of hosts although the members have agreed on another one.
 */
class StoreUpgradeTest {
    private static final String HOSTS_KEY = "config/mongodb/hosts";
    private static final int CLIENTS = 20;

    private final List<Program> programs = new ArrayList<>();
    private final Map<String, Integer> memberPorts = new LinkedHashMap<>();
    private final Map<String, Integer> listenPorts = new LinkedHashMap<>();
    private final Map<String, Integer> mongoPorts = new LinkedHashMap<>();
    /** The host of the operator's list, which drains by the agreed one. */
    private MongoHost draining;

    private MongoHost current;
    private String agreedList;
    private int requests;

    @TempDir
    private Path folder;

    @BeforeEach
    void startHosts() throws IOException {
        long ahead = System.currentTimeMillis() + 3_600_000;
        draining = new MongoHost("old", true, ahead);
        current = new MongoHost("new", true, ahead);
        agreedList = list(2, draining.listed("DRAINING").replace("source", "copy"), current.listed("SERVING"));
    }

    @AfterEach
    void stop() throws Exception {
        programs.forEach(Program::close);
        draining.close();
        current.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    private static String list(int revision, String... targets) {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", targets) + "]}";
    }

    private void chooseMembers(String... names) throws IOException {
        for (String name : names) {
            memberPorts.put(name, freePort());
            listenPorts.put(name, freePort());
            mongoPorts.put(name, freePort());
        }
    }

    private String storePart(String name) {
        String members = memberPorts.entrySet().stream()
                .map(member -> "\"" + member.getKey() + "\":\"127.0.0.1:" + member.getValue() + "\"")
                .collect(Collectors.joining(","));
        return "\"store\":{\"member\":\"" + name + "\",\"members\":{" + members + "},\"folder\":\""
                + folder.resolve(name) + "\"}";
    }

    private Program start(String name, int listen, String operator) throws IOException {
        Program program = Program.serve(
                Program.config(listen, 9, "", true).replace("\"name\":\"n1\"", "\"name\":\"" + name + "\""), operator);
        programs.add(program);
        return program;
    }

    /** Starts a process of this member, which serves MongoDB with the operator's list or the agreed one. */
    private Program start(String name) throws IOException {
        return start(
                name,
                listenPorts.get(name),
                "{\"mongodb\":{\"listen\":\"127.0.0.1:" + mongoPorts.get(name) + "\",\"hosts\":"
                        + list(1, draining.listed("SERVING")) + "}," + storePart(name) + "}");
    }

    private static void awaitReady(Program program) {
        Program.await(() -> isReady(program), "the process to be ready: " + program.printed);
    }

    private static boolean isReady(Program program) {
        try {
            return !program.lines("serving on ").isEmpty()
                    && program.call("readyz\n").startsWith("ok");
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes on new connections from the start of the process on, until it is ready. */
    private void writeUntilReady(Program program, String member) {
        Program.await(
                () -> {
                    writeOnce(member);
                    return isReady(program);
                },
                "the process to be ready: " + program.printed);
    }

    private void writeOnce(String member) {
        requests++;
        try (Client.Mongo client = new Client.Mongo(mongoPorts.get(member))) {
            client.ask(true, "id=w" + requests + ",c=write,cluster=1", 4_000);
        } catch (IOException e) {
            // The process does not listen yet.
        }
    }

    private void put(String hosts) throws IOException {
        try (Store client = Store.createClient(memberPorts.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, member -> NodeConfig.parseAddress("127.0.0.1:" + member.getValue()))))) {
            client.put(HOSTS_KEY, hosts);
        }
    }

    /** Writes once on each of some new connections; returns whether this host received all of the writes. */
    private boolean allWritesReach(MongoHost host, String member) {
        int before = host.requestIds.size();
        for (int i = 0; i < CLIENTS; i++) {
            writeOnce(member);
        }
        return host.requestIds.size() == before + CLIENTS;
    }

    /** Starts the only member of a group, and has it agree on the list in which the operator's host drains. */
    private Program startOnlyMember() throws IOException {
        chooseMembers("n1");
        Program program = start("n1");
        awaitReady(program);
        assertTrue(allWritesReach(draining, "n1"), "the operator's list counts before another one is agreed on");
        put(agreedList);
        Program.await(() -> allWritesReach(current, "n1"), "the agreed list");
        return program;
    }

    /** Starts the three members of a group. */
    private void startGroup() throws IOException {
        chooseMembers("n1", "n2", "n3");
        for (String name : memberPorts.keySet()) {
            awaitReady(start(name));
        }
    }

    private void assertServesAgreedListOnly(int drainingRequests) {
        assertTrue(allWritesReach(current, "n1"));
        assertEquals(drainingRequests, draining.requestIds.size(), "writes to the host that drains");
    }

    private static void awaitLine(Program program, String line) {
        Program.await(() -> !program.lines(line).isEmpty(), line);
    }

    @Test
    void successorServesTheAgreedListAndTakesTheMemberOverAtTheEndOfThePredecessor() throws Exception {
        Program predecessor = startOnlyMember();
        int drainingRequests = draining.requestIds.size();
        Program successor = start("n1");
        writeUntilReady(successor, "n1");
        assertServesAgreedListOnly(drainingRequests);
        predecessor.terminate();
        awaitLine(successor, "store: took over member n1");
        assertEquals(0, predecessor.exit());
        put(agreedList);
        assertServesAgreedListOnly(drainingRequests);
        assertTrue(successor.process.isAlive());
        for (Program program : List.of(predecessor, successor)) {
            assertEquals(List.of(), program.lines("store: unexpected"));
            assertEquals(List.of(), program.lines("store: this member has stopped"));
        }
    }

    @Test
    void successorTakesTheMemberOverFromAPredecessorThatIsKilled() throws Exception {
        Program predecessor = startOnlyMember();
        Program successor = start("n1");
        awaitReady(successor);
        predecessor.close();
        awaitLine(successor, "store: took over member n1");
        put(agreedList);
        assertServesAgreedListOnly(draining.requestIds.size());
    }

    /** The new process is ended, before or after it serves; the old one is the member still. */
    @Test
    void predecessorStaysTheMemberIfTheUpgradeIsGivenUp() throws Exception {
        Program predecessor = startOnlyMember();
        int drainingRequests = draining.requestIds.size();
        Program early = start("n1");
        awaitLine(early, "store: a predecessor is member n1");
        early.end();
        Program successor = start("n1");
        awaitReady(successor);
        successor.signal("HUP");
        successor.awaitFigure("reloads_ok=1");
        successor.terminate();
        assertEquals(0, successor.exit());
        put(agreedList);
        assertServesAgreedListOnly(drainingRequests);
        assertEquals(List.of(), predecessor.lines("store: released"));
    }

    @Test
    void changeOfTheListReachesBothProcesses() throws Exception {
        startOnlyMember();
        awaitReady(start("n1"));
        put(list(3, draining.listed("SERVING"), current.listed("DRAINING").replace("source", "copy")));
        Program.await(() -> allWritesReach(draining, "n1"), "the changed list in both processes");
    }

    @Test
    void restartedMemberServesTheAgreedListFromItsFirstClientOn() throws Exception {
        startOnlyMember().end();
        int drainingRequests = draining.requestIds.size();
        writeUntilReady(start("n1"), "n1");
        assertServesAgreedListOnly(drainingRequests);
    }

    /** No majority can tell the list: the one that this member had last counts, not the operator's. */
    @Test
    void memberThatRestartsWithoutAMajorityServesTheListThatItHadLast() throws Exception {
        startGroup();
        put(agreedList);
        Program.await(() -> allWritesReach(current, "n1"), "the agreed list");
        programs.forEach(Program::close);
        int drainingRequests = draining.requestIds.size();
        Program restarted = start("n1");
        writeUntilReady(restarted, "n1");
        assertServesAgreedListOnly(drainingRequests);
        assertEquals(1, restarted.lines("store: no majority").size(), restarted.printed.toString());
    }

    /** The list was changed while this member was down: neither its data nor what it had last counts. */
    @Test
    void memberThatMissedAChangeServesTheChangedListFromItsFirstClientOn() throws Exception {
        startGroup();
        put(list(2, draining.listed("SERVING")));
        Program.await(() -> allWritesReach(draining, "n1"), "the first list");
        programs.get(0).close();
        programs.get(0).exit();
        put(agreedList);
        int drainingRequests = draining.requestIds.size();
        writeUntilReady(start("n1"), "n1");
        assertServesAgreedListOnly(drainingRequests);
    }

    /** The successor of one of three members votes: with it and one other, the group has a majority. */
    @Test
    void successorIsAFullMemberOfTheGroup() throws Exception {
        startGroup();
        Program successor = start("n1");
        awaitReady(successor);
        programs.get(0).terminate();
        awaitLine(successor, "store: took over member n1");
        programs.get(1).close();
        put(agreedList);
        Program.await(() -> allWritesReach(current, "n1"), "the agreed list");
    }

    /** Two proxies were given one directory by mistake: there is no predecessor, so the start fails at once. */
    @Test
    void directoryInUseWithoutAPredecessorEndsTheStart() throws Exception {
        startOnlyMember();
        Program other = start("n1", freePort(), "{" + storePart("n1") + "}");
        assertEquals(2, other.exit());
        assertEquals(1, other.lines("mintstair: store: ").size(), other.printed.toString());
        assertEquals(List.of(), other.lines("serving on "));
    }

    /** Two are started one after the other, as the first is given up: only one of them becomes the member. */
    @Test
    void oneOfTwoSuccessorsTakesTheMemberOver() throws Exception {
        Program predecessor = startOnlyMember();
        Program first = start("n1");
        Program second = start("n1");
        awaitReady(first);
        awaitReady(second);
        predecessor.end();
        Program.await(
                () -> first.lines("store: took over").size()
                                + second.lines("store: took over").size()
                        == 1,
                "one of them to take over");
        put(agreedList);
        assertServesAgreedListOnly(draining.requestIds.size());
        assertTrue(first.process.isAlive() && second.process.isAlive());
    }

    /** What an upgrade cannot mend is an error at its start, not a failure that is repeated forever. */
    @Test
    void folderThatIsAFileEndsTheStartBesideAPredecessor() throws Exception {
        startOnlyMember();
        Path file = Files.createFile(folder.resolve("file"));
        String operator = "{" + storePart("n1").replace(folder.resolve("n1").toString(), file.toString()) + "}";
        Program other = start("n1", listenPorts.get("n1"), operator);
        assertEquals(2, other.exit());
        assertEquals(1, other.lines("mintstair: store: " + file).size(), other.printed.toString());
    }

    /** A list that cannot be read, such as one cut off by a full disk, does not hide the list in the member's data. */
    @Test
    void memberThatRestartsWithoutAMajorityAndWithADamagedFileServesTheListOfItsData() throws Exception {
        startGroup();
        put(agreedList);
        Program.await(() -> allWritesReach(current, "n1"), "the agreed list");
        programs.get(0).end();
        programs.forEach(Program::close);
        Files.writeString(folder.resolve("n1").resolve("mongodb-hosts.json"), "{\"rev\":");
        int drainingRequests = draining.requestIds.size();
        writeUntilReady(start("n1"), "n1");
        assertServesAgreedListOnly(drainingRequests);
    }

    /** A member's address that is not of this machine never becomes free, whatever a predecessor does. */
    @Test
    void addressOfAnotherMachineEndsTheStartBesideAPredecessor() throws Exception {
        startOnlyMember();
        String operator = "{" + storePart("n1").replace("\"n1\":\"127.0.0.1:", "\"n1\":\"192.0.2.1:") + "}";
        Program other = start("n1", listenPorts.get("n1"), operator);
        assertEquals(2, other.exit());
        assertEquals(1, other.lines("mintstair: store: 192.0.2.1 ").size(), other.printed.toString());
    }
}
