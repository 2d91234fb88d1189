package mintstair.wire;

/** Lines of text, each ended by a line feed. */
public final class LineFramer extends Framer {
    /** A line is a word or two: what is longer is none. */
    public static final int LONGEST = 256;

    @Override
    protected int length(byte[] b, int at, int n) {
        for (int i = 0; i < Math.min(n, LONGEST); i++) {
            if (b[at + i] == '\n') {
                return i + 1;
            }
        }
        if (n >= LONGEST) {
            throw new ProtocolException("a line without end");
        }
        return -1;
    }
}
