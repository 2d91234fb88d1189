package mintstair.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.Message;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
    /** Offset of the sender's name, after the magic number (4 bytes), the fleet hash (4) and the name's length (1). */
    private static final int SENDER_NAME_OFFSET = 9;

    private static final GossipUpdate SENDER = update("a", 7, MemberState.ALIVE, 0);

    private final MessageCodec codec = new MessageCodec("fleet");

    private static GossipUpdate update(String name, long incarnation, MemberState state, long ageMicros) {
        return new GossipUpdate(name, "127.0.0.1:7946", incarnation, state, ageMicros, "b");
    }

    private static Message gossipFrom(String senderName) {
        GossipUpdate sender = update(senderName, 1, MemberState.ALIVE, 0);
        return new Message(sender, new Message.GossipOnly(), List.of());
    }

    /** Returns two messages of each type: one with updates and one without. */
    private static List<Message> allMessages() {
        List<GossipUpdate> updates = List.of(
                update("x", 1_800_000_000_000_000L, MemberState.SUSPECT, 0),
                update("y", 0, MemberState.LEFT, 5_000_000));
        List<Message.Body> bodies = List.of(
                new Message.Ping(3, "x"),
                new Message.Ack(-1),
                new Message.Nack(4),
                new Message.PingRequest(5, "x", "h:1"),
                new Message.CompareDigests(-9),
                new Message.FetchUpdates(),
                new Message.GossipOnly());
        List<Message> messages = new ArrayList<>();
        for (Message.Body body : bodies) {
            messages.add(new Message(SENDER, body, updates));
            messages.add(new Message(SENDER, body, List.of()));
        }
        return messages;
    }

    private Optional<Message> decode(byte[] bytes) {
        return codec.decode(ByteBuffer.wrap(bytes));
    }

    private void assertRejected(byte[] bytes, String description) {
        assertEquals(Optional.empty(), decode(bytes), description);
    }

    @Test
    void decodesEachEncodedMessage() {
        for (Message message : allMessages()) {
            assertEquals(Optional.of(message), decode(codec.encode(message)));
        }
    }

    @Test
    void encodesPingInTheDocumentedLayout() {
        GossipUpdate left = update("y", 9, MemberState.LEFT, 5_000_000);
        Message ping = new Message(SENDER, new Message.Ping(3, "x"), List.of(left));
        ByteBuffer expected = ByteBuffer.allocate(84);
        expected.putInt(0x4d535701).putInt("fleet".hashCode());
        putUpdate(expected, "a", 7, 0, 0);
        expected.put((byte) 0).putLong(3);
        putText(expected, "x");
        expected.put((byte) 1);
        putUpdate(expected, "y", 9, 3, 5);

        assertArrayEquals(expected.array(), codec.encode(ping));
    }

    private static void putUpdate(ByteBuffer out, String name, long incarnation, int state, int ageSeconds) {
        putText(out, name);
        putText(out, "127.0.0.1:7946");
        out.putLong(incarnation).put((byte) state).putInt(ageSeconds);
        putText(out, "b");
    }

    private static void putText(ByteBuffer out, String text) {
        out.put((byte) text.length()).put(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void rejectsMessagesThatAreTruncatedExtendedOrFromAnotherFleet() {
        MessageCodec otherFleet = new MessageCodec("another");
        for (Message message : allMessages()) {
            byte[] bytes = codec.encode(message);
            for (int length = 0; length < bytes.length; length++) {
                assertRejected(Arrays.copyOf(bytes, length), message + " truncated at " + length);
            }
            assertRejected(Arrays.copyOf(bytes, bytes.length + 1), message + " with an additional byte");
            assertEquals(Optional.empty(), otherFleet.decode(ByteBuffer.wrap(bytes)));
        }
    }

    /** A member could not raise such an incarnation to refute its death, so it would stay dead permanently. */
    @Test
    void rejectsIncarnationsOutOfBounds() {
        for (long incarnation : new long[] {-1, Long.MAX_VALUE, Long.MAX_VALUE - 5}) {
            GossipUpdate outOfBounds = update("x", incarnation, MemberState.DEAD, 0);
            Message message = new Message(SENDER, new Message.GossipOnly(), List.of(outOfBounds));
            assertRejected(codec.encode(message), "incarnation " + incarnation);
        }
    }

    @Test
    void rejectsNamesThatAreEmptyOrTooLong() {
        assertRejected(codec.encode(gossipFrom("")), "empty name");
        assertRejected(codec.encode(gossipFrom("n".repeat(MessageCodec.MAX_NAME_BYTES + 1))), "name too long");
    }

    /**
     * A line break could forge lines in the log and in the output of the members command. Characters of more than one
     * byte could make a page of the state larger than its limit.
     */
    @Test
    void rejectsNamesThatAreNotPrintableAscii() {
        for (String name : List.of("a\nmember b alive", "a b", "a\u0000", "\u00e4")) {
            byte[] bytes = codec.encode(gossipFrom("x".repeat(name.length())));
            byte[] raw = name.getBytes(StandardCharsets.ISO_8859_1);
            System.arraycopy(raw, 0, bytes, SENDER_NAME_OFFSET, raw.length);
            assertRejected(bytes, name);
        }
    }

    @Test
    void neverThrowsOnCorruptedMessages() {
        Random random = new Random(1);
        int decoded = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = codec.encode(allMessages().get(i % 14));
            for (int changes = 1 + random.nextInt(3); changes > 0; changes--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            decoded += decode(bytes).isPresent() ? 1 : 0;
        }
        assertTrue(decoded < 20_000 && decoded > 0, "decoded " + decoded + " of 20000 corrupted messages");
    }
}
