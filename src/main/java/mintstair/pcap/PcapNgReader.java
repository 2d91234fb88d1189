package mintstair.pcap;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads pcapng: sections, each of its own byte order, with interfaces, each of its own link type and timestamp
 * resolution. Blocks of other types are skipped. Source: the IETF's draft-ietf-opsawg-pcapng.
 */
final class PcapNgReader implements CaptureReader {
    /** Type of the block that begins a section, the same in both byte orders. */
    static final int SECTION_HEADER = 0x0a0d0d0a;

    private static final int BYTE_ORDER_MAGIC = 0x1a2b3c4d;
    private static final int INTERFACE_DESCRIPTION = 1;
    private static final int OBSOLETE_PACKET = 2;
    private static final int SIMPLE_PACKET = 3;
    private static final int ENHANCED_PACKET = 6;
    private static final int MAX_INTERFACES = 1_000;

    /** Type, length, and the length again at the end. */
    private static final int BLOCK_OVERHEAD_BYTES = 12;

    private static final int TRAILING_LENGTH_BYTES = 4;
    private static final int ENHANCED_PACKET_HEADER_BYTES = 20;
    private static final int SIMPLE_PACKET_HEADER_BYTES = 4;

    private final CaptureInput in;
    private final List<PcapNgInterface> interfaces = new ArrayList<>();
    private ByteOrder order = ByteOrder.BIG_ENDIAN;
    private boolean started;
    private long lastTimestampNanos;

    /** Reads on behind the first four bytes, which are the type of the first section header. */
    PcapNgReader(CaptureInput in) {
        this.in = in;
    }

    @Override
    public CapturedFrame next() throws IOException {
        while (true) {
            int type = SECTION_HEADER;
            if (started) {
                byte[] typeBytes = in.readOrEnd(Integer.BYTES, "a block's type");
                if (typeBytes == null) {
                    return null;
                }
                type = ByteBuffer.wrap(typeBytes).order(order).getInt();
            }
            started = true;
            CapturedFrame frame = readBlock(type);
            if (frame != null) {
                lastTimestampNanos = frame.timestampNanos();
                return frame;
            }
        }
    }

    /** Reads a block behind its type; returns its frame, or null where it holds none. */
    private CapturedFrame readBlock(int type) throws IOException {
        if (type == SECTION_HEADER) {
            readSectionHeader();
            return null;
        }
        int length = ByteBuffer.wrap(in.readFully(Integer.BYTES, "a block's length"))
                .order(order)
                .getInt();
        if (!isUsed(type)) {
            skipRest(length - 2 * Integer.BYTES);
            return null;
        }
        ByteBuffer body = readBody(length);
        try {
            return parse(type, body);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new MalformedCaptureException("a block whose fields contradict its length", e);
        }
    }

    private static boolean isUsed(int type) {
        return type == INTERFACE_DESCRIPTION
                || type == OBSOLETE_PACKET
                || type == SIMPLE_PACKET
                || type == ENHANCED_PACKET;
    }

    /** The byte-order magic comes behind the length, and says how to read that too. */
    private void readSectionHeader() throws IOException {
        ByteBuffer header = ByteBuffer.wrap(in.readFully(2 * Integer.BYTES, "a section header"));
        int magic = header.getInt(Integer.BYTES);
        if (magic != BYTE_ORDER_MAGIC && magic != Integer.reverseBytes(BYTE_ORDER_MAGIC)) {
            throw new MalformedCaptureException("a section without a byte order");
        }
        order = magic == BYTE_ORDER_MAGIC ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN;
        interfaces.clear();
        skipRest(header.order(order).getInt(0) - 3 * Integer.BYTES);
    }

    /** Skips what is left of a block, the trailing length included. */
    private void skipRest(int length) throws IOException {
        if (length < TRAILING_LENGTH_BYTES) {
            throw new MalformedCaptureException("a block that is shorter than its header");
        }
        in.skip(length, "a block");
    }

    private ByteBuffer readBody(int length) throws IOException {
        if (length < BLOCK_OVERHEAD_BYTES || length > MAX_BLOCK_BYTES || length % 4 != 0) {
            throw new MalformedCaptureException("a block of " + Integer.toUnsignedLong(length) + " bytes");
        }
        byte[] rest = in.readFully(length - 2 * Integer.BYTES, "a block");
        return ByteBuffer.wrap(rest, 0, rest.length - TRAILING_LENGTH_BYTES)
                .slice()
                .order(order);
    }

    private CapturedFrame parse(int type, ByteBuffer body) {
        return switch (type) {
            case INTERFACE_DESCRIPTION -> {
                addInterface(body);
                yield null;
            }
            case ENHANCED_PACKET -> packet(interfaces.get(body.getInt(0)), body);
            case OBSOLETE_PACKET -> packet(interfaces.get(Short.toUnsignedInt(body.getShort(0))), body);
            default -> simplePacket(body);
        };
    }

    private void addInterface(ByteBuffer body) {
        if (interfaces.size() >= MAX_INTERFACES) {
            throw new IllegalArgumentException("more than " + MAX_INTERFACES + " interfaces");
        }
        interfaces.add(PcapNgInterface.parse(body));
    }

    /** Enhanced and obsolete packet blocks differ in their first four bytes alone. */
    private static CapturedFrame packet(PcapNgInterface capturedOn, ByteBuffer body) {
        long units = Integer.toUnsignedLong(body.getInt(4)) << Integer.SIZE | Integer.toUnsignedLong(body.getInt(8));
        int capturedLength = body.getInt(12);
        int originalLength = body.getInt(16);
        ByteBuffer data = body.slice(ENHANCED_PACKET_HEADER_BYTES, capturedLength);
        return new CapturedFrame(capturedOn.toUnixNanos(units), capturedOn.linkType(), data, originalLength);
    }

    /** A simple packet has no timestamp, and belongs to the first interface. */
    private CapturedFrame simplePacket(ByteBuffer body) {
        PcapNgInterface capturedOn = interfaces.get(0);
        int originalLength = body.getInt(0);
        int snapshotLength = capturedOn.snapshotLength() == 0 ? Integer.MAX_VALUE : capturedOn.snapshotLength();
        int available = body.limit() - SIMPLE_PACKET_HEADER_BYTES;
        int capturedLength = Math.min(Math.min(originalLength, snapshotLength), available);
        ByteBuffer data = body.slice(SIMPLE_PACKET_HEADER_BYTES, capturedLength);
        return new CapturedFrame(lastTimestampNanos, capturedOn.linkType(), data, originalLength);
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
