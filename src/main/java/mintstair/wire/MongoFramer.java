package mintstair.wire;

/** MongoDB's messages: a header of 16 bytes, little-endian, that begins with the length. */
public final class MongoFramer extends Framer {
    /** As hello tells clients: far more than a value of 64 KiB needs. */
    public static final int LONGEST = 512 * 1024;

    @Override
    protected int length(byte[] b, int at, int n) {
        if (n < 16) {
            return -1;
        }
        int length = Integer.reverseBytes(int32(b, at));
        if (length < 21 || length > LONGEST) {
            throw new ProtocolException("invalid message length " + length);
        }
        return length;
    }
}
