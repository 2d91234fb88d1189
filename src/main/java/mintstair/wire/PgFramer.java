package mintstair.wire;

/**
 * The framer for messages of PostgreSQL's protocol, version 3. They start with a type byte and a length; a start-up
 * packet has no type byte. A message of a type that the peer may not send, or of a length that is invalid for its type,
 * is rejected before any of it is buffered.
 */
public abstract class PgFramer extends Framer {
    /** Sufficient for a statement that contains a value of 64 KiB twice, in hexadecimal. */
    private static final int MAX_QUERY_LENGTH = 256 * 1024;
    /** The maximum length of a row from a host, in bytes; values of 4 MiB are in use. */
    public static final int MAX_ROW_LENGTH = 16 * 1024 * 1024;

    private static final int MAX_UNSPLIT_ROW_LENGTH = 64 * 1024;
    private static final int MAX_STARTUP_LENGTH = 10_000;
    private static final int MAX_OTHER_LENGTH = 8 * 1024;
    /** The length of the type byte, which a message's length field excludes; the field includes its own four bytes. */
    private static final int TYPE_LENGTH = 1;

    private static final int LENGTH_LENGTH = 4;

    private final String types;
    private final char longType;
    private final int maxLongLength;

    /** Accepts the types in {@code types}. Messages of {@code longType} may have up to {@code maxLongLength} bytes. */
    private PgFramer(String types, char longType, int maxLongLength) {
        this.types = types;
        this.longType = longType;
        this.maxLongLength = maxLongLength;
    }

    @Override
    protected int length(byte[] bytes, int offset, int available) {
        if (available < TYPE_LENGTH) {
            return UNKNOWN_LENGTH;
        }
        char type = (char) (bytes[offset] & 255);
        if (types.indexOf(type) < 0) {
            throw new ProtocolException("unknown message type " + (int) type);
        }
        if (available < TYPE_LENGTH + LENGTH_LENGTH) {
            return UNKNOWN_LENGTH;
        }
        int max = type == longType ? maxLongLength : MAX_OTHER_LENGTH;
        return TYPE_LENGTH + checkLength(int32(bytes, offset + TYPE_LENGTH), LENGTH_LENGTH, max);
    }

    private static int checkLength(int length, int min, int max) {
        if (length < min || length > max) {
            throw new ProtocolException("invalid message length " + length);
        }
        return length;
    }

    /** The framer for the messages that a database host sends in reply to simple queries. */
    public static final class HostMessageFramer extends PgFramer {
        /** Creates a framer that accepts the types of messages that a server sends. */
        public HostMessageFramer() {
            super("RSKNATDCEIZ", 'D', MAX_ROW_LENGTH);
        }

        @Override
        protected int maxUnsplitLength() {
            return MAX_UNSPLIT_ROW_LENGTH + LONG_MESSAGE_HEAD_LENGTH;
        }
    }

    /**
     * The framer for the messages that a client sends. The start-up is complete after the first packet that is not a
     * request for encryption.
     */
    public static final class ClientMessageFramer extends PgFramer {
        private static final int MIN_STARTUP_LENGTH = 8;
        private static final int PROTOCOL_MAJOR_VERSION = 3;

        private boolean startupDone;

        /** Creates a framer that accepts a start-up first, and then the types of messages that a client sends. */
        public ClientMessageFramer() {
            super("QXPBDECFHSdcfp", 'Q', MAX_QUERY_LENGTH);
        }

        /** Creates a framer for a connection whose start-up was completed earlier, and was not captured. */
        public static ClientMessageFramer afterStartup() {
            ClientMessageFramer framer = new ClientMessageFramer();
            framer.startupDone = true;
            return framer;
        }

        @Override
        protected int length(byte[] bytes, int offset, int available) {
            if (startupDone) {
                return super.length(bytes, offset, available);
            }
            if (available < LENGTH_LENGTH) {
                return UNKNOWN_LENGTH;
            }
            int length = checkLength(int32(bytes, offset), MIN_STARTUP_LENGTH, MAX_STARTUP_LENGTH);
            // The code may be missing from an incomplete packet; this method is called again when more is read.
            startupDone = length <= available && int32(bytes, offset + LENGTH_LENGTH) >> 16 == PROTOCOL_MAJOR_VERSION;
            return length;
        }
    }
}
