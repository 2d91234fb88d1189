package mintstair.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits a stream of bytes into messages, regardless of the pieces in which the bytes arrive. Not thread-safe.
 *
 * <p>A message longer than {@link #maxUnsplitLength} is returned in parts as it arrives: its first
 * {@link #LONG_MESSAGE_HEAD_LENGTH} bytes, then the rest in parts of any length.
 */
public abstract class Framer {
    /** The length of the first part of a long message, in bytes. */
    public static final int LONG_MESSAGE_HEAD_LENGTH = 11;
    /** Returned by {@link #length} if too few bytes are available. */
    protected static final int UNKNOWN_LENGTH = -1;

    private static final int INITIAL_CAPACITY = 512;
    /** A larger buffer is replaced by a smaller one as soon as it is nearly empty. */
    private static final int MAX_RETAINED_CAPACITY = 64 * 1024;
    /** A buffer is nearly empty if less than this part of it is in use. */
    private static final int NEARLY_EMPTY_DIVISOR = 4;

    private byte[] buffer = new byte[INITIAL_CAPACITY];
    private int start;
    private int end;
    /** The number of bytes of a long message that were not returned yet. */
    private int longMessageRemaining;

    /** Appends bytes that were read. */
    public final void feed(ByteBuffer read) {
        int length = read.remaining();
        if (end + length > buffer.length) {
            ensureCapacity(length);
        }
        read.get(buffer, end, length);
        end += length;
    }

    /** Moves the pending bytes to the start of the buffer, or of a larger one if it is too small. */
    private void ensureCapacity(int length) {
        int kept = end - start;
        boolean fits = kept + length <= buffer.length;
        byte[] target = fits ? buffer : new byte[Math.max(kept + length, 2 * buffer.length)];
        System.arraycopy(buffer, start, target, 0, kept);
        buffer = target;
        start = 0;
        end = kept;
    }

    /**
     * Removes and returns the next complete message, or the next part of a long message.
     *
     * @return the message, or null if more bytes are needed
     * @throws ProtocolException if the bytes are not the start of a valid message
     */
    public final byte[] next() {
        if (longMessageRemaining > 0) {
            return nextPart();
        }
        int length = length(buffer, start, end - start);
        int partLength = length > maxUnsplitLength() ? LONG_MESSAGE_HEAD_LENGTH : length;
        if (length < 0 || partLength > end - start) {
            return null;
        }
        longMessageRemaining = length - partLength;
        return remove(partLength);
    }

    private byte[] nextPart() {
        int length = Math.min(longMessageRemaining, end - start);
        longMessageRemaining -= length;
        return length == 0 ? null : remove(length);
    }

    private byte[] remove(int length) {
        byte[] message = Arrays.copyOfRange(buffer, start, start + length);
        start += length;
        if (buffer.length > MAX_RETAINED_CAPACITY && pending() < buffer.length / NEARLY_EMPTY_DIVISOR) {
            shrink();
        }
        return message;
    }

    /** Moves the pending bytes, which may be the start of the next message, to a buffer of their size. */
    private void shrink() {
        int kept = pending();
        byte[] smaller = new byte[Math.max(INITIAL_CAPACITY, kept)];
        System.arraycopy(buffer, start, smaller, 0, kept);
        buffer = smaller;
        start = 0;
        end = kept;
    }

    /** Returns the number of bytes that were fed and not returned yet. */
    public final int pending() {
        return end - start;
    }

    /** Returns the heap that an incomplete message takes, in bytes; 0 if there is none. */
    public final int heldBytes() {
        return pending() == 0 ? 0 : Math.max(pending(), buffer.length - INITIAL_CAPACITY);
    }

    /** Discards the bytes that were fed and not returned yet. */
    public final void clear() {
        start = 0;
        end = 0;
        longMessageRemaining = 0;
    }

    /** Returns the maximum length, in bytes, of a message that is always returned as a whole. */
    protected int maxUnsplitLength() {
        return Integer.MAX_VALUE;
    }

    /**
     * Determines the length of the message that starts at {@code offset}.
     *
     * @param available the number of bytes available from {@code offset} on
     * @return the length in bytes, or {@link #UNKNOWN_LENGTH} if more bytes are needed to determine it
     * @throws ProtocolException if the bytes are not the start of a valid message
     */
    protected abstract int length(byte[] bytes, int offset, int available);

    /** Decodes a big-endian 32-bit integer. */
    protected static int int32(byte[] bytes, int offset) {
        return ((bytes[offset] & 255) << 24)
                | ((bytes[offset + 1] & 255) << 16)
                | ((bytes[offset + 2] & 255) << 8)
                | (bytes[offset + 3] & 255);
    }
}
