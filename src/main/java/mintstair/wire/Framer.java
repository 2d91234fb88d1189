package mintstair.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Cuts a stream of bytes into whole messages, however the bytes arrive. Not thread-safe.
 *
 * <p>A message longer than {@link #maxUnsplitLength} is given out in parts as it arrives: its first
 * {@link #LONG_MESSAGE_HEAD_LENGTH} bytes, then the rest in pieces of any length.
 */
public abstract class Framer {
    /** How many bytes the first part of a long message has. */
    public static final int LONG_MESSAGE_HEAD_LENGTH = 11;
    /** What {@link #length} returns while too little was read. */
    protected static final int UNKNOWN_LENGTH = -1;

    private static final int INITIAL_CAPACITY = 512;
    /** A larger buffer is given back once it is empty. */
    private static final int MAX_RETAINED_CAPACITY = 64 * 1024;

    private byte[] buffer = new byte[INITIAL_CAPACITY];
    private int start;
    private int end;
    /** How many bytes of a long message are not given out yet. */
    private int longMessageRemaining;

    /** Takes in what was read. */
    public final void feed(ByteBuffer read) {
        int length = read.remaining();
        if (end + length > buffer.length) {
            makeRoom(length);
        }
        read.get(buffer, end, length);
        end += length;
    }

    /** Moves what is pending to the front of the buffer, or of a larger one where that is not enough. */
    private void makeRoom(int length) {
        int kept = end - start;
        boolean fits = kept + length <= buffer.length;
        byte[] target = fits ? buffer : new byte[Math.max(kept + length, 2 * buffer.length)];
        System.arraycopy(buffer, start, target, 0, kept);
        buffer = target;
        start = 0;
        end = kept;
    }

    /**
     * The next whole message, or the next part of a long one.
     *
     * @return null until more is read
     * @throws ProtocolException where the bytes cannot be the start of a message
     */
    public final byte[] next() {
        if (longMessageRemaining > 0) {
            return nextPart();
        }
        int length = length(buffer, start, end - start);
        int wanted = length > maxUnsplitLength() ? LONG_MESSAGE_HEAD_LENGTH : length;
        if (length < 0 || wanted > end - start) {
            return null;
        }
        longMessageRemaining = length - wanted;
        return remove(wanted);
    }

    private byte[] nextPart() {
        int length = Math.min(longMessageRemaining, end - start);
        longMessageRemaining -= length;
        return length == 0 ? null : remove(length);
    }

    private byte[] remove(int length) {
        byte[] message = Arrays.copyOfRange(buffer, start, start + length);
        start += length;
        if (start == end && buffer.length > MAX_RETAINED_CAPACITY) {
            buffer = new byte[INITIAL_CAPACITY];
            start = 0;
            end = 0;
        }
        return message;
    }

    /** How many bytes were fed and not given out. */
    public final int pending() {
        return end - start;
    }

    /** Discards what was fed and not given out. */
    public final void clear() {
        start = 0;
        end = 0;
        longMessageRemaining = 0;
    }

    /** Up to how many bytes a message is given out only as a whole. */
    protected int maxUnsplitLength() {
        return Integer.MAX_VALUE;
    }

    /**
     * Reads the length of the message that begins at {@code offset}.
     *
     * @param available how many bytes there are from {@code offset} on
     * @return the length in bytes, or {@link #UNKNOWN_LENGTH} while that many bytes do not tell it
     * @throws ProtocolException where the bytes cannot be the start of a message
     */
    protected abstract int length(byte[] bytes, int offset, int available);

    /** A 32-bit number, big-endian. */
    protected static int int32(byte[] bytes, int offset) {
        return ((bytes[offset] & 255) << 24)
                | ((bytes[offset + 1] & 255) << 16)
                | ((bytes[offset + 2] & 255) << 8)
                | (bytes[offset + 3] & 255);
    }
}
