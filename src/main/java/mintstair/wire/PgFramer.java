package mintstair.wire;

/** PostgreSQL's messages, version 3: a type byte and a length, but for a start-up packet, which has no type. */
public class PgFramer extends Framer {
    /** A value of 64 KiB in hexadecimal, twice over for its statement. */
    public static final int LONGEST = 256 * 1024;
    private boolean startup;

    public PgFramer(boolean startup) {
        this.startup = startup;
    }

    /** Whether the next message is a start-up packet. */
    public void expectStartup(boolean expected) {
        startup = expected;
    }

    @Override
    protected int length(byte[] b, int at, int n) {
        int head = startup ? 0 : 1;
        if (n < head + 4) {
            return -1;
        }
        int length = int32(b, at + head);
        if (length < (startup ? 8 : 4) || length > (startup ? 10_000 : LONGEST)) {
            throw new ProtocolException("invalid message length " + length);
        }
        return head + length;
    }

    /** Tells by itself when a client's start-up is over: with the first packet that is no request to encrypt. */
    public static final class OfClient extends PgFramer {
        private boolean over;

        public OfClient() {
            super(true);
        }

        @Override
        protected int length(byte[] b, int at, int n) {
            int length = super.length(b, at, n);
            if (!over && length > 0 && length <= n) {
                over = int32(b, at + 4) >> 16 == 3;
                expectStartup(!over);
            }
            return length;
        }
    }
}
