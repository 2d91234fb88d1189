package mintstair.membership;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.Message;

/**
 * Encodes messages as datagrams and decodes them.
 *
 * <p>A datagram consists of: magic number with the version (4 bytes), hash of the fleet's name (4), the sender's state
 * as an update, type of the body (1), fields of the body, number of updates (1), the updates. An update consists of:
 * name, address, incarnation (8), state (1), age in seconds (4), reporter. A string consists of its length (1) and
 * printable ASCII characters without spaces. All numbers are big-endian.
 *
 * <p>A datagram that is truncated, belongs to another fleet or has a field out of bounds is rejected as a whole.
 */
final class MessageCodec {
    /** Maximum length of a member's name, in bytes of printable ASCII and therefore also in characters. */
    static final int MAX_NAME_BYTES = 48;
    /** Maximum length of an address, in bytes of printable ASCII. */
    static final int MAX_ADDRESS_BYTES = 64;
    /** Maximum length of a datagram; a longer one is truncated on receipt and therefore rejected. */
    static final int MAX_DATAGRAM_BYTES = 1_472;

    private static final int MAGIC = 0x4d535701;
    /**
     * Maximum incarnation, in Unix microseconds: far in the future, but low enough that a member can always raise it to
     * refute a suspicion.
     */
    private static final long MAX_INCARNATION = 100_000_000_000_000_000L;

    private static final MemberState[] STATES = MemberState.values();

    private static final byte PING = 0;
    private static final byte ACK = 1;
    private static final byte NACK = 2;
    private static final byte PING_REQUEST = 3;
    private static final byte COMPARE_DIGESTS = 4;
    private static final byte FETCH_UPDATES = 5;
    private static final byte GOSSIP_ONLY = 6;

    private final int fleetHash;

    MessageCodec(String fleet) {
        fleetHash = fleet.hashCode();
    }

    byte[] encode(Message message) {
        Encoder encoder = new Encoder();
        encoder.putInt(MAGIC);
        encoder.putInt(fleetHash);
        encoder.putUpdate(message.sender());
        message.body().accept(encoder);
        encoder.putByte(message.updates().size());
        message.updates().forEach(encoder::putUpdate);
        return encoder.toByteArray();
    }

    /** Appends the fields of a message to a buffer. */
    private static final class Encoder implements Message.Visitor {
        private static final int INITIAL_BYTES = 256;

        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);

        @Override
        public void visit(Message.Ping ping) {
            putByte(PING);
            putLong(ping.sequence());
            putText(ping.target());
        }

        @Override
        public void visit(Message.Ack ack) {
            putByte(ACK);
            putLong(ack.sequence());
        }

        @Override
        public void visit(Message.Nack nack) {
            putByte(NACK);
            putLong(nack.sequence());
        }

        @Override
        public void visit(Message.PingRequest request) {
            putByte(PING_REQUEST);
            putLong(request.sequence());
            putText(request.target());
            putText(request.address());
        }

        @Override
        public void visit(Message.CompareDigests compare) {
            putByte(COMPARE_DIGESTS);
            putLong(compare.digest());
        }

        @Override
        public void visit(Message.FetchUpdates fetch) {
            putByte(FETCH_UPDATES);
        }

        @Override
        public void visit(Message.GossipOnly gossip) {
            putByte(GOSSIP_ONLY);
        }

        void putUpdate(GossipUpdate update) {
            putText(update.name());
            putText(update.address());
            putLong(update.incarnation());
            putByte(update.state().ordinal());
            putInt((int) Math.min(Integer.MAX_VALUE, TimeUnit.MICROSECONDS.toSeconds(update.ageMicros())));
            putText(update.reporter());
        }

        void putText(String text) {
            byte[] ascii = text.getBytes(StandardCharsets.US_ASCII);
            putByte(ascii.length);
            bytes.writeBytes(ascii);
        }

        void putByte(int value) {
            bytes.write(value);
        }

        void putInt(int value) {
            bytes.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
        }

        void putLong(long value) {
            bytes.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
        }

        byte[] toByteArray() {
            return bytes.toByteArray();
        }
    }

    /** Returns the message in a datagram; empty if it is not a well-formed message of this fleet. */
    Optional<Message> decode(ByteBuffer datagram) {
        try {
            if (datagram.getInt() != MAGIC || datagram.getInt() != fleetHash) {
                return Optional.empty();
            }
            Message message = readMessage(datagram);
            return datagram.hasRemaining() ? Optional.empty() : Optional.of(message);
        } catch (BufferUnderflowException | MalformedMessageException e) {
            return Optional.empty();
        }
    }

    private static Message readMessage(ByteBuffer in) throws MalformedMessageException {
        GossipUpdate sender = readUpdate(in);
        Message.Body body = readBody(in);
        int count = Byte.toUnsignedInt(in.get());
        List<GossipUpdate> updates = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            updates.add(readUpdate(in));
        }
        return new Message(sender, body, updates);
    }

    private static Message.Body readBody(ByteBuffer in) throws MalformedMessageException {
        byte type = in.get();
        return switch (type) {
            case PING -> new Message.Ping(in.getLong(), readName(in));
            case ACK -> new Message.Ack(in.getLong());
            case NACK -> new Message.Nack(in.getLong());
            case PING_REQUEST -> new Message.PingRequest(in.getLong(), readName(in), readAddress(in));
            case COMPARE_DIGESTS -> new Message.CompareDigests(in.getLong());
            case FETCH_UPDATES -> new Message.FetchUpdates();
            case GOSSIP_ONLY -> new Message.GossipOnly();
            default -> throw new MalformedMessageException("unknown message type " + type);
        };
    }

    private static GossipUpdate readUpdate(ByteBuffer in) throws MalformedMessageException {
        String name = readName(in);
        String address = readAddress(in);
        long incarnation = in.getLong();
        MemberState state = readState(in);
        int ageSeconds = in.getInt();
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new MalformedMessageException("incarnation " + incarnation + ", expected 0 to " + MAX_INCARNATION);
        }
        if (ageSeconds < 0) {
            throw new MalformedMessageException("age of " + ageSeconds + " s, expected 0 or more");
        }
        return new GossipUpdate(name, address, incarnation, state, TimeUnit.SECONDS.toMicros(ageSeconds), readName(in));
    }

    private static MemberState readState(ByteBuffer in) throws MalformedMessageException {
        int ordinal = in.get();
        if (ordinal < 0 || ordinal >= STATES.length) {
            throw new MalformedMessageException("unknown member state " + ordinal);
        }
        return STATES[ordinal];
    }

    private static String readName(ByteBuffer in) throws MalformedMessageException {
        return readText(in, MAX_NAME_BYTES);
    }

    private static String readAddress(ByteBuffer in) throws MalformedMessageException {
        return readText(in, MAX_ADDRESS_BYTES);
    }

    private static String readText(ByteBuffer in, int maxBytes) throws MalformedMessageException {
        int length = Byte.toUnsignedInt(in.get());
        if (length == 0 || length > maxBytes || length > in.remaining()) {
            throw new MalformedMessageException(
                    "string of " + length + " bytes, expected 1 to " + Math.min(maxBytes, in.remaining()));
        }
        byte[] ascii = new byte[length];
        in.get(ascii);
        for (byte character : ascii) {
            // A line break in a name could forge lines in the log and in the output of the members command.
            if (character <= ' ' || character > '~') {
                throw new MalformedMessageException("byte " + character + ", expected printable ASCII without spaces");
            }
        }
        return new String(ascii, StandardCharsets.US_ASCII);
    }

    /** Thrown if a field of a datagram is out of bounds. */
    private static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String message) {
            super(message);
        }
    }
}
