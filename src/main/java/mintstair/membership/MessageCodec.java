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
 * Encodes messages as datagrams.
 *
 * <p>Layout, all numbers big-endian: magic number with the version (4 bytes), hash of the fleet's name (4), sender as
 * an update, type of the body (1) and its fields, number of updates (1), the updates. An update is: name, address,
 * incarnation (8), state (1), age in seconds (4), reporter. A string is: length (1), printable ASCII characters.
 *
 * <p>A datagram that is truncated, of another fleet or out of bounds is rejected as a whole.
 */
final class MessageCodec {
    /** Longest name of a member, in bytes of printable ASCII, so that the length in characters bounds a datagram. */
    static final int MAX_NAME_BYTES = 48;
    /** Longest address, in bytes of printable ASCII. */
    static final int MAX_ADDRESS_BYTES = 64;
    /** No member sends a longer datagram; one that was truncated on receipt is rejected. */
    static final int MAX_DATAGRAM_BYTES = 1_472;

    private static final int MAGIC = 0x4d535701;
    /** Unix microseconds in the far future: a higher incarnation could never be refuted. */
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

    /** Writes the parts of a message one after the other. */
    private static final class Encoder implements Message.Visitor {
        private static final int USUAL_BYTES = 256;

        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(USUAL_BYTES);

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

    /** The message in a datagram; empty if it is not a well-formed message of this fleet. */
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
            default -> throw new MalformedMessageException("unknown type of message " + type);
        };
    }

    private static GossipUpdate readUpdate(ByteBuffer in) throws MalformedMessageException {
        String name = readName(in);
        String address = readAddress(in);
        long incarnation = in.getLong();
        MemberState state = readState(in);
        int ageSeconds = in.getInt();
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new MalformedMessageException("incarnation out of bounds: " + incarnation);
        }
        if (ageSeconds < 0) {
            throw new MalformedMessageException("negative age: " + ageSeconds);
        }
        return new GossipUpdate(name, address, incarnation, state, TimeUnit.SECONDS.toMicros(ageSeconds), readName(in));
    }

    private static MemberState readState(ByteBuffer in) throws MalformedMessageException {
        int ordinal = in.get();
        if (ordinal < 0 || ordinal >= STATES.length) {
            throw new MalformedMessageException("unknown state " + ordinal);
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
            throw new MalformedMessageException("string of " + length + " bytes");
        }
        byte[] ascii = new byte[length];
        in.get(ascii);
        for (byte character : ascii) {
            // A line break in a name would forge lines of the log and of the members command.
            if (character <= ' ' || character > '~') {
                throw new MalformedMessageException("character " + character + " is not printable ASCII");
            }
        }
        return new String(ascii, StandardCharsets.US_ASCII);
    }

    /** A field of a datagram is out of bounds. */
    private static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String message) {
            super(message);
        }
    }
}
