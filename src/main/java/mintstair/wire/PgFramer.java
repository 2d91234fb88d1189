package mintstair.wire;

/**
 * PostgreSQL's messages, version 3: a type byte and a length, but for a start-up packet, which has no type. A message
 * of a type that the other end may not send, or of a length that its type does not have, is an error before any of it
 * is buffered.
 */
public abstract class PgFramer extends Framer {
    /** A value of 64 KiB in hexadecimal, twice, with its statement. */
    private static final int MAX_QUERY_LENGTH = 256 * 1024;
    /** The longest row of a host, in bytes; values of 4 MiB are in use. */
    public static final int MAX_ROW_LENGTH = 16 * 1024 * 1024;

    private static final int MAX_WHOLE_ROW_LENGTH = 64 * 1024;
    private static final int MAX_STARTUP_LENGTH = 10_000;
    private static final int MAX_OTHER_LENGTH = 8 * 1024;
    /** The type byte is not counted by a message's length; the length's own four bytes are. */
    private static final int TYPE_LENGTH = 1;

    private static final int LENGTH_LENGTH = 4;

    private final String types;
    private final char longType;
    private final int maxLongLength;

    /** For the types in {@code types}; those of {@code longType} may have up to {@code maxLongLength} bytes. */
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
        return TYPE_LENGTH + checked(int32(bytes, offset + TYPE_LENGTH), LENGTH_LENGTH, max);
    }

    private static int checked(int length, int min, int max) {
        if (length < min || length > max) {
            throw new ProtocolException("invalid message length " + length);
        }
        return length;
    }

    /** What a database host sends in reply to simple queries. */
    public static final class HostMessageFramer extends PgFramer {
        /** Accepts the types of messages that a server sends. */
        public HostMessageFramer() {
            super("RSKNATDCEIZ", 'D', MAX_ROW_LENGTH);
        }

        @Override
        protected int maxUnsplitLength() {
            return MAX_WHOLE_ROW_LENGTH + LONG_MESSAGE_HEAD_LENGTH;
        }
    }

    /** What a client sends. Its start-up is over with the first packet that does not ask for encryption. */
    public static final class ClientMessageFramer extends PgFramer {
        private static final int MIN_STARTUP_LENGTH = 8;
        private static final int PROTOCOL_MAJOR_VERSION = 3;

        private boolean startupDone;

        /** Accepts a start-up first, and then the types of messages that a client sends. */
        public ClientMessageFramer() {
            super("QXPBDECFHSdcfp", 'Q', MAX_QUERY_LENGTH);
        }

        /** For a connection whose start-up is over, and was not seen. */
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
            int length = checked(int32(bytes, offset), MIN_STARTUP_LENGTH, MAX_STARTUP_LENGTH);
            // Of a packet that is not whole yet the code may be missing; its length is asked for again.
            startupDone = length <= available && int32(bytes, offset + LENGTH_LENGTH) >> 16 == PROTOCOL_MAJOR_VERSION;
            return length;
        }
    }
}
