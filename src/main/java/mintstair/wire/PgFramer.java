package mintstair.wire;

/**
 * PostgreSQL's messages, version 3: a type byte and a length, but for a start-up packet, which has no type. A type
 * that nobody may send here, or a length that its type does not have, ends the reading before anything is kept of it.
 */
public abstract class PgFramer extends Framer {
    /** A value of 64 KiB in hexadecimal, twice over for its statement. */
    public static final int LONGEST = 256 * 1024;
    /** A host's value: those of 4 MiB are in use, what claims far more is spoilt. */
    public static final int LONGEST_VALUE = 16 * 1024 * 1024;
    /** A longer value is not held until it is whole. */
    public static final int LONGEST_HELD = 64 * 1024;

    private static final int LONGEST_STARTUP = 10_000;
    private static final int LONGEST_OTHER = 8 * 1024;
    private final String types;
    private final char large;
    private final int longest;

    private PgFramer(String types, char large, int longest) {
        this.types = types;
        this.large = large;
        this.longest = longest;
    }

    @Override
    protected int length(byte[] b, int at, int n) {
        if (n < 1) {
            return -1;
        }
        char type = (char) (b[at] & 255);
        if (types.indexOf(type) < 0) {
            throw new ProtocolException("unknown message type " + (int) type);
        }
        return n < 5 ? -1 : 1 + checked(int32(b, at + 1), 4, type == large ? longest : LONGEST_OTHER);
    }

    private static int checked(int length, int least, int most) {
        if (length < least || length > most) {
            throw new ProtocolException("invalid message length " + length);
        }
        return length;
    }

    /** What a db host answers simple queries with. */
    public static final class OfHost extends PgFramer {
        public OfHost() {
            super("RSKNATDCEIZ", 'D', LONGEST_VALUE);
        }

        @Override
        protected int longestWhole() {
            return LONGEST_HELD + LONG_HEAD;
        }
    }

    /** Tells by itself when a client's start-up is over: with the first packet that is no request to encrypt. */
    public static final class OfClient extends PgFramer {
        private boolean over;

        public OfClient() {
            super("QXPBDECFHSdcfp", 'Q', LONGEST);
        }

        /** For a connection whose start-up is over, and was not seen. */
        public static OfClient started() {
            OfClient framer = new OfClient();
            framer.over = true;
            return framer;
        }

        @Override
        protected int length(byte[] b, int at, int n) {
            if (over) {
                return super.length(b, at, n);
            }
            if (n < 4) {
                return -1;
            }
            int length = checked(int32(b, at), 8, LONGEST_STARTUP);
            over = length <= n && int32(b, at + 4) >> 16 == 3;
            return length;
        }
    }
}
