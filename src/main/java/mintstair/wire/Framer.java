package mintstair.wire;

import java.nio.ByteBuffer;

/** Cuts a stream of bytes into whole messages, however the bytes come in; half a message is never given out. */
public abstract class Framer {
    /** Of a message that comes in parts, the first has so many bytes. */
    public static final int LONG_HEAD = 11;

    private byte[] held = new byte[512];
    private int from;
    private int to;
    private int rest;

    /** Takes in what was read. */
    public final void feed(ByteBuffer read) {
        int n = read.remaining();
        if (to + n > held.length) {
            int kept = to - from;
            byte[] room = kept + n > held.length ? new byte[Math.max(kept + n, 2 * held.length)] : held;
            System.arraycopy(held, from, room, 0, kept);
            held = room;
            from = 0;
            to = kept;
        }
        read.get(held, to, n);
        to += n;
    }

    /**
     * The next whole message, or null until more is read; throws where what came can be no message. One longer than
     * {@link #longestWhole} comes in parts: its head, then its rest as it is read.
     */
    public final byte[] next() {
        if (rest > 0) {
            int part = Math.min(rest, to - from);
            rest -= part;
            return part == 0 ? null : give(part);
        }
        int length = length(held, from, to - from);
        int whole = length > longestWhole() ? LONG_HEAD : length;
        if (length < 0 || whole > to - from) {
            return null;
        }
        rest = length - whole;
        return give(whole);
    }

    private byte[] give(int length) {
        byte[] message = java.util.Arrays.copyOfRange(held, from, from + length);
        from += length;
        if (from == to && held.length > 64 * 1024) {
            held = new byte[512];
            from = 0;
            to = 0;
        }
        return message;
    }

    /** How many bytes were fed and not given out. */
    public final int pending() {
        return to - from;
    }

    /** Forgets what was fed and not given out. */
    public final void clear() {
        from = 0;
        to = 0;
        rest = 0;
    }

    /** A longer message is not kept until it is whole. */
    protected int longestWhole() {
        return Integer.MAX_VALUE;
    }

    /** The length of the message that begins here, or -1 while that cannot be told from {@code n} bytes. */
    protected abstract int length(byte[] bytes, int at, int n);

    protected static int int32(byte[] b, int at) {
        return (b[at] & 255) << 24 | (b[at + 1] & 255) << 16 | (b[at + 2] & 255) << 8 | (b[at + 3] & 255);
    }
}
