package mintstair.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import mintstair.program.Program;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.standin.Client;
import mintstair.wire.PgWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what requests in flight are counted to take of the heap, and what happens beyond the limit. */
class ClientMemoryTest extends FrontFixture {
    private static final byte[] REPLY = new PgWriter()
            .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
            .message('D', '\0', '\1', 1, new byte[] {'w'})
            .message('C', "INSERT 0 1")
            .bytes();
    private static final int LARGE_VALUE_BYTES = 100_000;

    /** The number of attempts that were ended; used on the event loop. */
    private int endedAttempts;

    private static byte[] write(String id, int valueBytes) {
        return Client.Pg.query("INSERT INTO entries (ref, payload) VALUES ('7f', '\\x" + "9f".repeat(valueBytes)
                + "') RETURNING payload /* id=" + id + ",c=write,cluster=1,d=5000 */");
    }

    private long inFlightBytes() {
        return onLoop(front.memoryBudget::inFlightBytes);
    }

    /** Takes a part of the budget for requests in flight. */
    private void addInFlight(long bytes) {
        onLoop(() -> {
            front.memoryBudget.addInFlight(bytes);
            return null;
        });
    }

    private void removeInFlight(long bytes) {
        onLoop(() -> {
            front.memoryBudget.removeInFlight(loop.now(), bytes);
            return null;
        });
    }

    /** Ends all attempts in this way; returns whether nothing is in flight then. */
    private boolean endAttempts(ConnectionEnd end) {
        while (endedAttempts < backend.attempts.size()) {
            byte[] body = end == ConnectionEnd.SERVED ? REPLY : new byte[0];
            backend.attempts.get(endedAttempts++).onEnd(new HostReply(end, body, HostReport.NONE));
        }
        return front.memoryBudget.inFlightBytes() == 0;
    }

    @AfterEach
    void everyByteIsGivenBack() {
        Program.await(() -> onLoop(() -> front.clients()) == 0, "the sessions to end");
        assertEquals(0, inFlightBytes());
        assertEquals(0, onLoop(front.memoryBudget::inputBytes));
    }

    /** Guards against a budget that is used up by requests that are over. */
    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void memoryOfARequestIsFreedHoweverItsAttemptsEnd(ConnectionEnd end) throws IOException {
        byte[] write = write("w", LARGE_VALUE_BYTES);
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(write);
            awaitAttempts(1);
            assertTrue(inFlightBytes() >= 2L * write.length, inFlightBytes() + " bytes");
            Program.await(() -> onLoop(() -> endAttempts(end)), "the memory to be freed");
            client.answer();
        }
    }

    @Test
    void memoryOfARequestIsFreedWhenItsClientLeaves() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(write("w", LARGE_VALUE_BYTES));
            awaitAttempts(1);
        }
        Program.await(() -> inFlightBytes() == 0, "the memory to be freed");
    }

    /** A session that is terminated by a malformed message still waits for the response to its request. */
    @Test
    void memoryOfARequestIsHeldUntilItsResponseThoughTheClientIsDisconnected() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(write("w", LARGE_VALUE_BYTES));
            awaitAttempts(1);
            long held = inFlightBytes();
            client.raw(new byte[] {'?', 0, 0, 0, 4});
            Program.await(() -> onLoop(front.memoryBudget::inputBytes) == 0, "the input to be discarded");
            assertEquals(held, inFlightBytes());
            replyToLastAttempt("w");
            assertEquals("served w", client.answer());
            assertEquals("failed", client.answer());
        }
    }

    /** Guards against a heap that requests in flight fill while their host does not reply. */
    @Test
    void requestForWhichThereIsNoRoomIsRejectedAtOnce() throws IOException {
        addInFlight(2L * MAX_HELD_BYTES);
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(write("w", 1));
            assertEquals("refused 0", client.answer());
            assertEquals("53300", client.code);
            removeInFlight(2L * MAX_HELD_BYTES);
            client.raw(write("w", 1));
            awaitAttempts(1);
            replyToLastAttempt("w");
            assertEquals("served w", client.answer());
        }
        assertTrue(front.counters().contains(" given_up={memory=1}"), front.counters());
    }

    /** Guards against large requests that keep the small ones of other clients out. */
    @Test
    void smallRequestsHaveAReserve() throws IOException {
        addInFlight(MAX_HELD_BYTES);
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(write("w", 1));
            awaitAttempts(1);
            replyToLastAttempt("w");
            assertEquals("served w", client.answer());
        }
        removeInFlight(MAX_HELD_BYTES);
    }

    /** Guards against requests that are rejected in a burst although there is soon room for them. */
    @Test
    void clientWaitsForRoomBeforeItsLargeRequestIsRejected() throws IOException {
        addInFlight(MAX_HELD_BYTES);
        try (Client.Pg client = new Client.Pg(port)) {
            long sentNanos = System.nanoTime();
            client.raw(write("w", LARGE_VALUE_BYTES));
            assertEquals("refused 0", client.answer());
            long waitedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos);
            assertTrue(waitedMicros >= ClientMemoryBudget.MAX_WAIT_MICROS, waitedMicros + " us");
        }
        removeInFlight(MAX_HELD_BYTES);
    }

    /** Guards against a budget below the size of a single request, which could never be served. */
    @Test
    void requestLargerThanTheBudgetIsServedIfItIsTheOnlyOne() {
        ClientMemoryBudget small = new ClientMemoryBudget(1_000, 1_000);
        assertTrue(small.hasRoomInFlight(1_000_000));
        small.addInFlight(1);
        assertFalse(small.hasRoomInFlight(1_000_000));
    }
}
