package mintstair.wire;

/** Lines of text, each ended by a line feed, which is part of the message. */
public final class LineFramer extends Framer {
    /** In bytes, with the line feed; the lines in use are a word or two. */
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
