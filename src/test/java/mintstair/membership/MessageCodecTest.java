package mintstair.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.Message;
import mintstair.membership.swim.Message.Body;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
    private final MessageCodec codec = new MessageCodec("fleet");
    private static final GossipUpdate SELF = update("a", 7, MemberState.ALIVE, 0);

    private static GossipUpdate update(String name, long incarnation, MemberState state, long age) {
        return new GossipUpdate(name, "127.0.0.1:7946", incarnation, state, age, "b");
    }

    private static List<Message> all() {
        List<GossipUpdate> updates = List.of(
                update("x", 1_800_000_000_000_000L, MemberState.SUSPECT, 0),
                update("y", 0, MemberState.LEFT, 5_000_000));
        List<Message> all = new ArrayList<>();
        for (Body body : List.of(
                new Message.Ping(3, "x"),
                new Message.Ack(-1),
                new Message.Nack(4),
                new Message.PingRequest(5, "x", "h:1"),
                new Message.CompareDigests(-9),
                new Message.FetchUpdates(),
                new Message.GossipOnly())) {
            all.add(new Message(SELF, body, updates));
            all.add(new Message(SELF, body, List.of()));
        }
        return all;
    }

    @Test
    void everyMessageComesBackAsItWas() {
        for (Message message : all()) {
            assertEquals(message, codec.decode(ByteBuffer.wrap(codec.encode(message))));
        }
    }

    /** Cut anywhere, with a byte too many, or of another fleet, it is no message. */
    @Test
    void whatIsNotWholeOrNotOfThisFleetIsNoMessage() {
        MessageCodec other = new MessageCodec("another");
        for (Message message : all()) {
            byte[] bytes = codec.encode(message);
            for (int n = 0; n < bytes.length; n++) {
                assertNull(codec.decode(ByteBuffer.wrap(bytes, 0, n)), message + " cut at " + n);
            }
            assertNull(codec.decode(ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length + 1))));
            assertNull(other.decode(ByteBuffer.wrap(bytes)));
        }
    }

    /** An incarnation that its member could never raise would keep it dead for good. */
    @Test
    void rumoursOutOfBoundsAreRefused() {
        for (long incarnation : new long[] {-1, Long.MAX_VALUE, Long.MAX_VALUE - 5}) {
            Message message =
                    new Message(SELF, new Message.GossipOnly(), List.of(update("x", incarnation, MemberState.DEAD, 0)));
            assertNull(codec.decode(ByteBuffer.wrap(codec.encode(message))));
        }
        assertNull(codec.decode(ByteBuffer.wrap(
                codec.encode(new Message(update("", 1, MemberState.ALIVE, 0), new Message.GossipOnly(), List.of())))));
        assertNull(codec.decode(ByteBuffer.wrap(codec.encode(new Message(
                update("n".repeat(MessageCodec.NAME + 1), 1, MemberState.ALIVE, 0),
                new Message.GossipOnly(),
                List.of())))));
    }

    /** A name with a line's end would forge lines of the log and of the members command; one beyond ASCII overflows a page. */
    @Test
    void namesOfOtherThanPrintableAsciiAreRefused() {
        for (String name : List.of("a\nmember b alive", "a b", "a\u0000", "\u00e4")) {
            byte[] bytes = codec.encode(new Message(
                    update("x".repeat(name.length()), 1, MemberState.ALIVE, 0), new Message.GossipOnly(), List.of()));
            byte[] put = name.getBytes(StandardCharsets.ISO_8859_1);
            System.arraycopy(put, 0, bytes, 9, put.length);
            assertNull(codec.decode(ByteBuffer.wrap(bytes)), name);
        }
    }

    @Test
    void garbageNeverThrows() {
        Random random = new Random(1);
        int taken = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = codec.encode(all().get(i % 14));
            for (int n = 1 + random.nextInt(3); n > 0; n--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            taken += codec.decode(ByteBuffer.wrap(bytes)) == null ? 0 : 1;
        }
        assertTrue(taken < 20_000 && taken > 0);
    }
}
