package mintstair.pcap;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads classic pcap files, of either byte order, with times to the microsecond or nanosecond. */
final class PcapReader implements AutoCloseable {
    static final int NULL = 0;
    static final int ETHERNET = 1;
    static final int RAW = 101;
    static final int LINUX_COOKED = 113;
    static final int MICROS = 0xa1b2c3d4;
    static final int NANOS = 0xa1b23c4d;
    private static final int NEW_FORMAT = 0x0a0d0d0a;
    private static final int LONGEST = 1 << 18;

    private final DataInputStream in;
    private final ByteOrder order;
    private final int linkType;

    private final boolean nanos;

    /** One packet as captured; its time in Unix microseconds. */
    record Captured(long time, ByteBuffer data) { }

    PcapReader(Path file) throws IOException {
        this(Files.newInputStream(file));
    }

    PcapReader(InputStream from) throws IOException {
        in = new DataInputStream(new BufferedInputStream(from));
        byte[] head = in.readNBytes(24);
        if (head.length < 24) {
            throw new IOException("not a pcap file: too short");
        }
        int magic = ByteBuffer.wrap(head).getInt();
        boolean big = magic == MICROS || magic == NANOS;
        int swapped = Integer.reverseBytes(magic);
        if (magic == NEW_FORMAT) {
            throw new IOException("a pcapng file: only classic pcap is read");
        }
        if (!big && swapped != MICROS && swapped != NANOS) {
            throw new IOException("not a pcap file");
        }
        order = big ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN;
        nanos = (big ? magic : swapped) == NANOS;
        linkType = ByteBuffer.wrap(head).order(order).getInt(20) & 0x0fffffff;
        if (linkType != NULL && linkType != ETHERNET && linkType != RAW && linkType != LINUX_COOKED) {
            throw new IOException("unsupported link type " + linkType);
        }
    }

    int linkType() {
        return linkType;
    }

    /** The next packet, or null at the end; a last packet that is cut off is taken to be not there. */
    Captured next() throws IOException {
        byte[] head = in.readNBytes(16);
        if (head.length < 16) {
            return null;
        }
        ByteBuffer record = ByteBuffer.wrap(head).order(order);
        int length = record.getInt(8);
        if (length < 0 || length > LONGEST) {
            throw new IOException("a packet of " + (length & 0xffffffffL) + " bytes: the file is damaged");
        }
        byte[] data = in.readNBytes(length);
        long fraction = record.getInt(4) & 0xffffffffL;
        return data.length < length ? null : new Captured((record.getInt(0) & 0xffffffffL) * 1_000_000
            + (nanos ? fraction / 1000 : fraction), ByteBuffer.wrap(data));
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
