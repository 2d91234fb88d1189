package mintstair.wire;

/**
 * The framer for messages of MongoDB's wire protocol. They have a little-endian header of 16 bytes, which starts with
 * the length of the whole message.
 */
public final class MongoFramer extends Framer {
    /**
     * The maximum length of a message in bytes, which is announced to clients in the reply to hello; far more than a
     * value of 64 KiB needs.
     */
    public static final int MAX_MESSAGE_LENGTH = 512 * 1024;

    private static final int HEADER_LENGTH = 16;
    /** The header and the shortest document, which has 5 bytes. */
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
