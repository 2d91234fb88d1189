package mintstair.pcap;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The frames of a capture file, one after the other, whatever its format: classic pcap or pcapng. Holds one frame at a time. A
 * file that ends within a frame, or goes on with what is none, ends there: what came before stands, and {@link #damage} says so.
 */
public abstract class Capture implements AutoCloseable {
    /** No frame or block of a capture is longer; what claims to be is damage. */
    static final int LONGEST = 1 << 20;

    /**
     * One frame: its time in Unix nanoseconds (a frame without one has that of the frame before), its link type, and what was
     * captured of {@code length} bytes.
     */
    public record Frame(long nanos, int linkType, ByteBuffer data, int length) {}

    protected final InputStream in;
    protected String damage;

    protected Capture(InputStream in) {
        this.in = in;
    }

    /** Opens a file by its first bytes; throws {@link IOException} where it is no capture. */
    public static Capture open(Path file) throws IOException {
        return open(Files.newInputStream(file));
    }

    /** Reads from a stream, which is closed with the capture. */
    static Capture open(InputStream from) throws IOException {
        InputStream in = new BufferedInputStream(from, 256 * 1024);
        byte[] magic = in.readNBytes(4);
        int first = magic.length < 4 ? 0 : ByteBuffer.wrap(magic).getInt();
        if (first == PcapNg.SECTION) {
            return new PcapNg(in);
        }
        if (ClassicPcap.isMagic(first)) {
            return new ClassicPcap(in, first);
        }
        in.close();
        throw new IOException("no pcap or pcapng file");
    }

    /** The next frame, or null at the end. */
    public abstract Frame next() throws IOException;

    /** What ended the file before its end, or null where it is whole. */
    public final String damage() {
        return damage;
    }

    /** So many bytes, or null where the file ends before. */
    protected final byte[] bytes(int n, String within) throws IOException {
        byte[] read = in.readNBytes(n);
        if (read.length < n) {
            damage = read.length == 0 && within == null
                    ? null
                    : "the file ends within " + (within == null ? "a header" : within);
            return null;
        }
        return read;
    }

    @Override
    public final void close() throws IOException {
        in.close();
    }
}
