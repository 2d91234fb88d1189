package mintstair.front;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import mintstair.wire.LineFramer;
import mintstair.wire.ProtocolException;
import org.junit.jupiter.api.Test;

class CommandQueueTest {
    private long nowMicros = 1_000;
    private final CommandQueue queue = new CommandQueue(new LineFramer(), () -> nowMicros);

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void append(String text) {
        queue.append(bytes(text), nowMicros);
    }

    private void assertNext(String text, long readAtMicros) {
        CommandQueue.Command next = queue.poll();
        assertArrayEquals(text.getBytes(StandardCharsets.US_ASCII), next.message());
        assertEquals(readAtMicros, next.readAtMicros());
    }

    @Test
    void commandsAreReturnedInOrderWithTheTimeOfTheirLastByte() {
        append("first\nsec");
        nowMicros = 2_000;
        append("ond\nthird\n");

        assertNext("first\n", 1_000);
        assertNext("second\n", 2_000);
        assertNext("third\n", 2_000);
        assertNull(queue.poll());
    }

    @Test
    void partialMessageIsTimedFromItsFirstByte() {
        append("one\nt");
        nowMicros = 5_000;
        append("w");

        assertTrue(queue.hasPartialMessage());
        assertEquals(4_000, queue.partialMessageAgeMicros(nowMicros));
    }

    @Test
    void timeOfPartialMessageRestartsWithTheNextMessage() {
        append("on");
        nowMicros = 5_000;
        append("e\ntw");
        assertEquals(0, queue.partialMessageAgeMicros(nowMicros));

        append("o\n");
        nowMicros = 9_000;
        assertEquals(0, queue.partialMessageAgeMicros(nowMicros));
        assertFalse(queue.hasPartialMessage());
    }

    @Test
    void commandsBeforeAnErrorStayQueuedAndTheRestIsDiscarded() {
        String endless = "x".repeat(LineFramer.MAX_LINE_LENGTH);

        assertThrows(ProtocolException.class, () -> append("good\n" + endless));

        assertFalse(queue.hasPartialMessage());
        assertEquals(0, queue.partialMessageAgeMicros(nowMicros + 1_000_000));
        assertNext("good\n", 1_000);
    }

    @Test
    void heldBytesAreReportedAsChanges() {
        append("one\ntw");
        assertEquals(6 + CommandQueue.COMMAND_OVERHEAD_BYTES, queue.heldBytesChange());
        queue.poll();
        assertEquals(-4 - CommandQueue.COMMAND_OVERHEAD_BYTES, queue.heldBytesChange());
        assertEquals(0, queue.heldBytesChange());
        queue.clear();
        assertEquals(-2, queue.heldBytesChange());
    }

    /** Guards against heap exhaustion by commands of a few bytes, each of which needs far more heap. */
    @Test
    void queuedBytesIncludeTheHeapThatEachCommandNeeds() {
        append("x\n".repeat(64) + "incomplete");
        assertEquals(64 * (2 + CommandQueue.COMMAND_OVERHEAD_BYTES), queue.queuedBytes());
        queue.clear();
        assertEquals(0, queue.queuedBytes());
    }

    @Test
    void timeOfPartialMessageCanBeRestarted() {
        queue.restartPartialMessageTimeout(500);
        assertEquals(0, queue.partialMessageAgeMicros(nowMicros + 1_000_000));
        append("part");
        queue.restartPartialMessageTimeout(3_000);
        assertEquals(2_000, queue.partialMessageAgeMicros(5_000));
    }
}
