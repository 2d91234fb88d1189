package mintstair.pcap;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;

/**
 * The newer format: sections, each of its own byte order, with interfaces, each of its own link type and clock. Blocks of other
 * kinds are passed over. Source: the IETF's draft-ietf-opsawg-pcapng.
 */
final class PcapNg extends Capture {
    static final int SECTION = 0x0a0d0d0a;
    private static final int BYTE_ORDER = 0x1a2b3c4d;
    private static final int INTERFACE = 1;
    private static final int OLD_PACKET = 2;
    private static final int SIMPLE_PACKET = 3;
    private static final int ENHANCED_PACKET = 6;
    private static final int OPTION_END = 0;
    private static final int OPTION_RESOLUTION = 9;
    private static final int OPTION_OFFSET = 14;
    private static final int MOST_INTERFACES = 1_000;

    /** Where frames were seen; times count in {@code unitsPerSecond} from {@code offset} seconds on. */
    private record Interface(int linkType, int snap, long unitsPerSecond, long offset) {
        long nanos(long units) {
            long seconds = Long.divideUnsigned(units, unitsPerSecond);
            long rest = Long.remainderUnsigned(units, unitsPerSecond);
            return (seconds + offset) * 1_000_000_000 + (long) (rest * (1e9 / unitsPerSecond));
        }
    }

    private ByteOrder order = ByteOrder.BIG_ENDIAN;
    private final List<Interface> interfaces = new ArrayList<>();
    private boolean begun;
    private long last;

    /** Reads on behind the first four bytes, which begin a section. */
    PcapNg(InputStream in) {
        super(in);
    }

    @Override
    public Frame next() throws IOException {
        while (damage == null) {
            int type = SECTION;
            if (begun) {
                byte[] kind = bytes(4, null);
                if (kind == null) {
                    return null;
                }
                type = ByteBuffer.wrap(kind).order(order).getInt();
            }
            begun = true;
            ByteBuffer body = type == SECTION ? section() : body(type);
            if (damage != null) {
                return null;
            }
            try {
                Frame frame = body == null ? null : frame(type, body);
                if (frame != null) {
                    last = frame.nanos();
                    return frame;
                }
            } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
                damage = "a block that is not whole in itself";
            }
        }
        return null;
    }

    /** A section's head tells the byte order of its own length, too. */
    private ByteBuffer section() throws IOException {
        byte[] head = bytes(8, "a section's head");
        if (head == null) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(head);
        if (bytes.getInt(4) != BYTE_ORDER && bytes.getInt(4) != Integer.reverseBytes(BYTE_ORDER)) {
            damage = "a section of no byte order";
            return null;
        }
        order = bytes.getInt(4) == BYTE_ORDER ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN;
        interfaces.clear();
        skip(bytes.order(order).getInt(0) - 12);
        return null;
    }

    /** The body of a block that is of use, without its lengths; others are passed over. */
    private ByteBuffer body(int type) throws IOException {
        byte[] head = bytes(4, "a block's head");
        if (head == null) {
            return null;
        }
        int length = ByteBuffer.wrap(head).order(order).getInt();
        if (type != INTERFACE && type != OLD_PACKET && type != SIMPLE_PACKET && type != ENHANCED_PACKET) {
            skip(length - 8);
            return null;
        }
        if (length < 12 || length > LONGEST || length % 4 != 0) {
            damage = "a block of " + (length & 0xffffffffL) + " bytes";
            return null;
        }
        byte[] body = bytes(length - 8, "a block");
        return body == null
                ? null
                : ByteBuffer.wrap(body, 0, body.length - 4).slice().order(order);
    }

    private void skip(int n) throws IOException {
        if (n < 4) {
            damage = "a block that is shorter than its head";
            return;
        }
        try {
            in.skipNBytes(n);
        } catch (java.io.EOFException e) {
            damage = "the file ends within a block";
        }
    }

    private Frame frame(int type, ByteBuffer b) {
        switch (type) {
            case INTERFACE -> {
                if (interfaces.size() >= MOST_INTERFACES) {
                    throw new IllegalArgumentException("more interfaces than there may be");
                }
                interfaces.add(described(b));
                return null;
            }
            case ENHANCED_PACKET, OLD_PACKET -> {
                Interface at = interfaces.get(type == ENHANCED_PACKET ? b.getInt(0) : b.getShort(0) & 0xffff);
                long units = (b.getInt(4) & 0xffffffffL) << 32 | (b.getInt(8) & 0xffffffffL);
                return new Frame(at.nanos(units), at.linkType, b.slice(20, b.getInt(12)), b.getInt(16));
            }
            default -> {
                Interface at = interfaces.get(0);
                int length = b.getInt(0);
                int captured = Math.min(length, at.snap == 0 ? Integer.MAX_VALUE : at.snap);
                return new Frame(last, at.linkType, b.slice(4, Math.min(captured, b.limit() - 4)), length);
            }
        }
    }

    private Interface described(ByteBuffer b) {
        long units = 1_000_000;
        long offset = 0;
        for (int at = 8; at + 4 <= b.limit(); ) {
            int code = b.getShort(at) & 0xffff;
            int length = b.getShort(at + 2) & 0xffff;
            if (code == OPTION_END) {
                break;
            }
            if (code == OPTION_RESOLUTION && length == 1) {
                int power = b.get(at + 4) & 0x7f;
                boolean binary = (b.get(at + 4) & 0x80) != 0;
                if (power > (binary ? 62 : 18)) {
                    throw new IllegalArgumentException("a clock of no use");
                }
                units = binary ? 1L << power : (long) Math.pow(10, power);
            } else if (code == OPTION_OFFSET && length == 8) {
                offset = b.getLong(at + 4);
            }
            at += 4 + (length + 3 & ~3);
        }
        return new Interface(b.getShort(0) & 0xffff, b.getInt(4), units, offset);
    }
}
