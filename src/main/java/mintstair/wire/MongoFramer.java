package mintstair.wire;

/** MongoDB's messages: a header of 16 bytes, little-endian, that begins with the length of the whole message. */
public final class MongoFramer extends Framer {
    /** In bytes, and as clients learn it from hello; far more than a value of 64 KiB needs. */
    public static final int MAX_MESSAGE_LENGTH = 512 * 1024;

    private static final int HEADER_LENGTH = 16;
    /** The shortest document is 5 bytes. */
    private static final int MIN_MESSAGE_LENGTH = HEADER_LENGTH + 5;

    @Override
    protected int length(byte[] bytes, int offset, int available) {
        if (available < HEADER_LENGTH) {
            return UNKNOWN_LENGTH;
        }
        int length = Integer.reverseBytes(int32(bytes, offset));
        if (length < MIN_MESSAGE_LENGTH || length > MAX_MESSAGE_LENGTH) {
            throw new ProtocolException("invalid message length " + length);
        }
        return length;
    }
}
