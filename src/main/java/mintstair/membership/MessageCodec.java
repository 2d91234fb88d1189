package mintstair.membership;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.Message;
import mintstair.membership.swim.Message.Ack;
import mintstair.membership.swim.Message.Body;
import mintstair.membership.swim.Message.CompareDigests;
import mintstair.membership.swim.Message.FetchUpdates;
import mintstair.membership.swim.Message.GossipOnly;
import mintstair.membership.swim.Message.Nack;
import mintstair.membership.swim.Message.Ping;
import mintstair.membership.swim.Message.PingRequest;

/**
 * Messages as datagrams: a magic number with the version, the fleet's number, the sender, the kind and its fields, and the updates.
 * Whatever is not whole, not of this fleet or out of bounds is no message; nothing of it is taken in.
 */
final class MessageCodec {
    /** Longest name of a member, and longest address, in bytes; both of printable ASCII, so that what fits by length fits a datagram. */
    static final int NAME = 48;

    static final int ADDRESS = 64;
    /** No datagram of ours is longer; what is read into less room is cut and thus refused. */
    static final int MOST_BYTES = 1_472;

    private static final int MAGIC = 0x4d535701;
    /** Unix microseconds of a far future: a higher incarnation could never be refuted. */
    private static final long MOST_INCARNATION = 100_000_000_000_000_000L;

    private static final MemberState[] STATES = MemberState.values();

    private final int fleet;

    MessageCodec(String fleet) {
        this.fleet = fleet.hashCode();
    }

    byte[] encode(Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(MAGIC);
            out.writeInt(fleet);
            write(out, message.sender());
            write(out, message.body());
            out.writeByte(message.updates().size());
            for (GossipUpdate update : message.updates()) {
                write(out, update);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(DataOutputStream out, Body body) throws IOException {
        if (body instanceof Ping ping) {
            out.writeByte(0);
            out.writeLong(ping.seq());
            write(out, ping.target());
        } else if (body instanceof Ack ack) {
            out.writeByte(1);
            out.writeLong(ack.seq());
        } else if (body instanceof Nack nack) {
            out.writeByte(2);
            out.writeLong(nack.seq());
        } else if (body instanceof PingRequest ask) {
            out.writeByte(3);
            out.writeLong(ask.seq());
            write(out, ask.target());
            write(out, ask.address());
        } else if (body instanceof CompareDigests compare) {
            out.writeByte(4);
            out.writeLong(compare.digest());
        } else {
            out.writeByte(body instanceof FetchUpdates ? 5 : 6);
        }
    }

    private static void write(DataOutputStream out, GossipUpdate r) throws IOException {
        write(out, r.name());
        write(out, r.address());
        out.writeLong(r.incarnation());
        out.writeByte(r.state().ordinal());
        out.writeInt((int) Math.min(Integer.MAX_VALUE, r.age() / 1_000_000));
        write(out, r.by());
    }

    private static void write(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.writeByte(bytes.length);
        out.write(bytes);
    }

    /** The message, or null where these bytes are none. */
    Message decode(ByteBuffer in) {
        try {
            if (in.getInt() != MAGIC || in.getInt() != fleet) {
                return null;
            }
            GossipUpdate sender = update(in);
            Body body = body(in);
            int count = in.get() & 0xff;
            List<GossipUpdate> updates = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                updates.add(update(in));
            }
            return in.hasRemaining() || body == null ? null : new Message(sender, body, updates);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static Body body(ByteBuffer in) {
        return switch (in.get()) {
            case 0 -> new Ping(in.getLong(), text(in, NAME));
            case 1 -> new Ack(in.getLong());
            case 2 -> new Nack(in.getLong());
            case 3 -> new PingRequest(in.getLong(), text(in, NAME), text(in, ADDRESS));
            case 4 -> new CompareDigests(in.getLong());
            case 5 -> new FetchUpdates();
            case 6 -> new GossipOnly();
            default -> null;
        };
    }

    private static GossipUpdate update(ByteBuffer in) {
        String name = text(in, NAME);
        String address = text(in, ADDRESS);
        long incarnation = in.getLong();
        int state = in.get();
        long age = in.getInt() * 1_000_000L;
        if (incarnation < 0 || incarnation > MOST_INCARNATION || state < 0 || state >= STATES.length || age < 0) {
            throw new IllegalArgumentException("no update");
        }
        return new GossipUpdate(name, address, incarnation, STATES[state], age, text(in, NAME));
    }

    private static String text(ByteBuffer in, int most) {
        int length = in.get() & 0xff;
        if (length == 0 || length > most || length > in.remaining()) {
            throw new IllegalArgumentException("no text");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        for (byte b : bytes) {
            // A line's end in a name would forge lines of the log and of what operators are shown.
            if (b <= ' ' || b > '~') {
                throw new IllegalArgumentException("no text");
            }
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
