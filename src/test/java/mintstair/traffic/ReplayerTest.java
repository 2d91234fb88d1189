package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mintstair.program.Program;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost;
import mintstair.traffic.RecordedExchange.Result;
import org.junit.jupiter.api.Test;

/** A replay over sockets, against a front that gives the same value for the same key. */
class ReplayerTest {
    private static final long BEGIN_MILLIS = 1_700_000_000_000L;
    private static final int ONE_HOUR_MILLIS = 3_600_000;

    /** Serves a key's own value; keys that begin with "5" are rejected, with "6" the connection is closed. */
    private static final class KeyedFront extends StandInHost {
        final List<String> statements = Collections.synchronizedList(new ArrayList<>());

        KeyedFront() throws IOException {
            super("front", true, 0);
        }

        @Override
        protected void serve(DataInputStream in, OutputStream out) throws IOException {
            in.readNBytes(in.readInt() - 4);
            out.write(PgMessages.authenticated());
            for (int type = in.read(); type == 'Q'; type = in.read()) {
                String statement = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.ISO_8859_1);
                statements.add(statement);
                String key = statement.split("'")[1];
                switch (key.charAt(0)) {
                    case '5' -> out.write(PgMessages.error("53300", "no room", "40"));
                    case '6' -> {
                        return;
                    }
                    default -> out.write(PgMessages.row("value of " + key));
                }
            }
        }
    }

    private static Replayer newReplayer(List<RecordedExchange> recorded, ReplayOptions options, int port, String prefix)
            throws IOException {
        InetSocketAddress front = new InetSocketAddress("127.0.0.1", port);
        return new Replayer(recorded, options, front, Recording.Protocol.POSTGRESQL, prefix);
    }

    /** What was recorded of a request of {@link #recordingOfAllResults}. */
    private static Result expectedResult(int request) {
        return switch (request % 50) {
            case 9 -> Result.REFUSED;
            case 19 -> Result.NONE;
            default -> Result.SERVED;
        };
    }

    /** Of keys with which {@link KeyedFront} gives this result. */
    private static String firstLetter(Result result) {
        return switch (result) {
            case REFUSED -> "5";
            case NONE -> "6";
            default -> "a";
        };
    }

    private static List<RecordedExchange> recordingOfAllResults() {
        List<RecordedExchange> recorded = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Result result = expectedResult(i);
            recorded.add(ExchangeBuilder.keyed(BEGIN_MILLIS + i * 3L, firstLetter(result) + i % 20, result)
                    .connection(i % 7)
                    .write(i % 4 == 0)
                    .query("any")
                    .build());
        }
        return recorded;
    }

    private static RecordedExchange readAfterWrite() {
        return ExchangeBuilder.keyed(BEGIN_MILLIS + 700, "a0", Result.SERVED)
                .minimumPositionMillis(BEGIN_MILLIS + 500)
                .query("any")
                .build();
    }

    private static final ReplayOptions TWO_COPIES = new ReplayOptions(1, 0, 9, Set.of(), Set.of(), 2, false, 0);

    @Test
    void givesTheRecordedResultsWithFreshIdsAndTokens() throws Exception {
        List<RecordedExchange> recorded = recordingOfAllResults();
        recorded.add(readAfterWrite());
        long beginMillis = System.currentTimeMillis();
        try (KeyedFront front = new KeyedFront();
                Replayer replayer = newReplayer(recorded, TWO_COPIES, front.port(), "run")) {
            List<Replayer.Played> played = replayer.play();

            assertEquals(402, played.size());
            assertFirstCopyIsSame(played);
            assertEquals(402, front.statements.size());
            assertIdsAreFresh(front.statements);
            long renamed = front.statements.stream()
                    .filter(statement -> statement.matches("(?s).*'[0-9a-f]+c001'.*"))
                    .count();
            assertEquals(201, renamed, "copies have other sessions");
            assertReadAsksForWhatTheReplayWrote(front.statements, beginMillis);
            // bench/traffic measures the precision; a machine that is busy with other tests is late now and then.
            long medianMicros = replayer.lateness().getValueAtPercentile(50);
            assertTrue(medianMicros < 5_000, "p50 " + medianMicros);
        }
    }

    private static void assertFirstCopyIsSame(List<Replayer.Played> played) {
        Comparison comparison = new Comparison();
        for (Replayer.Played each : played) {
            if (each.scheduled().copy() == 0) {
                comparison.add(each.scheduled().recorded(), each.replayed());
            }
        }
        assertTrue(comparison.isSame(), comparison.toString());
    }

    private static void assertIdsAreFresh(List<String> statements) {
        Set<String> ids = new HashSet<>();
        for (String statement : statements) {
            String id = statement.replaceAll("(?s).*id=([^,]*),.*", "$1");
            assertTrue(ids.add(id) && statement.contains("id=run"), "a fresh id each: " + statement);
        }
    }

    private static void assertReadAsksForWhatTheReplayWrote(List<String> statements, long beginMillis) {
        String read = statements.stream()
                .filter(statement -> statement.contains("after=") && statement.contains("'a0'"))
                .findFirst()
                .orElseThrow();
        long positionMillis = Long.parseLong(read.replaceAll("(?s).*after=(\\d+).*", "$1"));
        boolean inReplay = positionMillis >= beginMillis && positionMillis <= System.currentTimeMillis() + 1;
        assertTrue(inReplay, "it asks for what was written in the replay: " + positionMillis);
    }

    /** A send that fails at once is the end of its request: the replay waited 100 ms more for the network. */
    @Test
    void replayEndsAtOnceWhereItsLastSendFails() throws Exception {
        // No stream can be opened to a broadcast address: the call fails at once.
        InetSocketAddress unusable = new InetSocketAddress("127.255.255.255", 9);
        List<RecordedExchange> recorded = List.of(ExchangeBuilder.keyed(BEGIN_MILLIS, "a0", Result.SERVED)
                .query("any")
                .build());
        long beganNanos = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            try (Replayer replayer =
                    new Replayer(recorded, ReplayOptions.ALL, unusable, Recording.Protocol.POSTGRESQL, "run")) {
                assertEquals(Result.NONE, replayer.play().get(0).replayed().result());
            }
        }
        long tookMillis = (System.nanoTime() - beganNanos) / 1_000_000;
        assertTrue(tookMillis < 900, "ten replays took " + tookMillis + " ms");
    }

    /**
     * Writes replayed through a front while the primary breaks off some of them, and then for good: none is sent
     * twice.
     */
    @Test
    void noWriteIsSentTwiceWhileThePrimaryFails() throws Exception {
        List<RecordedExchange> recorded = recordingOfReadsAndWrites();
        long endMillis = System.currentTimeMillis() + ONE_HOUR_MILLIS;
        try (PgHost primary = new PgHost("p", true, endMillis);
                PgHost replica = new PgHost("r", false, endMillis);
                Program program =
                        Program.serve(1, primary.listed("SERVING") + "," + replica.listed("SERVING"), true, null)) {
            for (int i = 0; i < 600; i += 10) {
                primary.behaviors.put("x" + Integer.toHexString(i), StandInHost.HostBehavior.BREAK);
            }
            closeAfterRequests(primary, 200);
            try (Replayer replayer = newReplayer(recorded, ReplayOptions.ALL, program.port(0), "x")) {
                List<Replayer.Played> played = replayer.play();

                assertEquals(600, played.size(), "one final response each");
                List<String> writesSeen = new ArrayList<>(primary.requestIds);
                writesSeen.addAll(replica.requestIds);
                writesSeen.retainAll(idsOfWrites(played));
                assertEquals(new HashSet<>(writesSeen).size(), writesSeen.size(), "a write was seen twice");
                assertTrue(writesSeen.size() > 50, writesSeen.size() + " writes seen");
                assertTrue(
                        played.stream().anyMatch(each -> each.replayed().result() == Result.FAILED),
                        "those broken off have failed");
            }
        }
    }

    private static List<RecordedExchange> recordingOfReadsAndWrites() {
        List<RecordedExchange> recorded = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            boolean write = i % 2 == 0;
            recorded.add(ExchangeBuilder.keyed(BEGIN_MILLIS + i, "a" + i % 30, Result.SERVED)
                    .connection(i % 9)
                    .write(write)
                    .query(write ? "write" : "any")
                    .build());
        }
        return recorded;
    }

    private static void closeAfterRequests(PgHost host, int requests) {
        List<String> seen = Collections.synchronizedList(new ArrayList<>());
        host.observer = line -> {
            seen.add(line.split(" ")[0]);
            if (seen.size() == requests) {
                StandInHost.daemon(() -> close(host));
            }
        };
    }

    private static void close(PgHost host) {
        try {
            host.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> idsOfWrites(List<Replayer.Played> played) {
        return played.stream()
                .filter(each -> each.scheduled().recorded().write())
                .map(each -> each.replayed().id())
                .toList();
    }

    @Test
    void unreachableFrontGivesNoResponses() throws Exception {
        List<RecordedExchange> recorded = List.of(
                ExchangeBuilder.keyed(BEGIN_MILLIS, "a1", Result.SERVED)
                        .query("any")
                        .build(),
                ExchangeBuilder.keyed(BEGIN_MILLIS + 10, "a1", Result.SERVED)
                        .query("any")
                        .build());
        try (Replayer replayer = newReplayer(recorded, ReplayOptions.ALL, 1, "x")) {
            List<Result> results = replayer.play().stream()
                    .map(each -> each.replayed().result())
                    .toList();

            assertEquals(List.of(Result.NONE, Result.NONE), results);
        }
    }
}
