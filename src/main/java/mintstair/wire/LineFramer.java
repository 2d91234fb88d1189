package mintstair.wire;

/** The framer for lines of text. Each is terminated by a line feed, which is part of the message. */
public final class LineFramer extends Framer {
    /** The maximum length of a line in bytes, including the line feed; the lines in use have one or two words. */
    public static final int MAX_LINE_LENGTH = 256;

    @Override
    protected int length(byte[] bytes, int offset, int available) {
        for (int i = 0; i < Math.min(available, MAX_LINE_LENGTH); i++) {
            if (bytes[offset + i] == '\n') {
                return i + 1;
            }
        }
        if (available >= MAX_LINE_LENGTH) {
            throw new ProtocolException("a line without end");
        }
        return UNKNOWN_LENGTH;
    }
}
