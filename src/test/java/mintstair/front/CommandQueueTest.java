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
import mintstair.wire.MongoFramer;
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
        assertEquals(6, queue.heldBytesChange());
        queue.poll();
        assertEquals(-4, queue.heldBytesChange());
        assertEquals(0, queue.heldBytesChange());
        queue.clear();
        assertEquals(-2, queue.heldBytesChange());
    }

    /** Guards against heap exhaustion by a client that sends commands without reading its responses. */
    @Test
    void moreThan64CommandsOr512KibibytesAreOverTheLimit() {
        append("x\n".repeat(64));
        queue.heldBytesChange();
        assertFalse(queue.isOverLimit());
        append("x\n");
        assertTrue(queue.isOverLimit());

        CommandQueue large = new CommandQueue(new MongoFramer(), () -> nowMicros);
        byte[] message = new byte[512 * 1024];
        ByteBuffer.wrap(message).putInt(Integer.reverseBytes(message.length));
        large.append(ByteBuffer.wrap(message), nowMicros);
        large.heldBytesChange();
        assertFalse(large.isOverLimit());
        large.append(ByteBuffer.wrap(new byte[1]), nowMicros);
        large.heldBytesChange();
        assertTrue(large.isOverLimit());
    }
}
