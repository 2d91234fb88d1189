package mintstair.backend.pg;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import mintstair.backend.Protocol;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.request.ReplicationRole;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/**
 * Assembles the messages of a reply until the host is ready for the next query. A value is forwarded to a client only
 * if each message of its reply was complete and in the expected order: hosts have been observed to send random bytes,
 * and lengths that do not match.
 */
final class PgReplyParser implements Protocol.Parser {
    /** The next expected message. An error message may replace any of them except READY. */
    private enum Expected {
        DESCRIPTION,
        ROW,
        COMPLETION,
        READY
    }

    private static final Pattern NUMBER = Pattern.compile(PgPosition.NUMBER_PATTERN);
    /** The offset of a message's body, which follows the type and the length. */
    private static final int BODY_OFFSET = 5;

    private static final int AUTHENTICATION_OK_LENGTH = 9;
    private static final int BACKEND_KEY_LENGTH = 13;
    private static final int READY_LENGTH = 6;
    /** The length of a column's description after the name; its last two bytes are the format of the values. */
    private static final int COLUMN_ATTRIBUTES_LENGTH = 18;

    private static final int INITIAL_CAPACITY = 256;

    private ByteArrayOutputStream body = new ByteArrayOutputStream(INITIAL_CAPACITY);
    /** The bytes of a long reply that were not forwarded yet; null if the reply is not a long one. */
    private ByteArrayOutputStream unforwarded;
    /** The number of bytes of a long row that have not arrived yet. */
    private int rowRemaining;

    private Expected expected = Expected.DESCRIPTION;
    private boolean greeting = true;
    /** The outcome of the reply; null until it is known. */
    private ConnectionEnd end;

    private ReplicationRole role = ReplicationRole.UNKNOWN;
    private long appliedPosition = HostReport.UNKNOWN_POSITION;
    private long commitPosition = HostReport.UNKNOWN_POSITION;

    @Override
    public HostReply parse(byte[] message) {
        if (rowRemaining > 0) {
            rowRemaining -= message.length;
            unforwarded.writeBytes(message);
            return null;
        }
        switch (message[0]) {
            case 'R' -> parseAuthentication(message);
            case 'S' -> parseParameter(message);
            case 'K' -> check(greeting && message.length == BACKEND_KEY_LENGTH, "unexpected BackendKeyData message");
            case 'N', 'A' -> {}
            case 'T' -> advance(message, Expected.DESCRIPTION, Expected.ROW, isDescription(message));
            case 'D' -> parseRow(message);
            case 'C' -> {
                boolean complete = indexOfZero(message, BODY_OFFSET) == message.length - 1;
                advance(message, Expected.COMPLETION, Expected.READY, complete);
                end = ConnectionEnd.SERVED;
            }
            case 'E' -> {
                check(expected != Expected.READY || greeting, "unexpected ErrorResponse message");
                end = parseError(message);
                expected = Expected.READY;
            }
            case 'Z' -> {
                return parseReady(message);
            }
            default -> throw new ProtocolException("unexpected message of type " + message[0]);
        }
        return null;
    }

    private void parseAuthentication(byte[] message) {
        boolean ok = message.length == AUTHENTICATION_OK_LENGTH && int32(message, BODY_OFFSET) == 0;
        check(greeting && ok, "unexpected or unsupported authentication message");
        expected = Expected.READY;
        end = ConnectionEnd.SERVED;
    }

    /**
     * Parses a row, or the first part of a long row. From here on the reply with the long row is forwarded, and cannot
     * be replaced by the reply to another attempt.
     */
    private void parseRow(byte[] head) {
        int length = 1 + int32(head, 1);
        advance(head, Expected.ROW, Expected.COMPLETION, isRow(head, length));
        if (length > head.length) {
            rowRemaining = length - head.length;
            unforwarded = body;
            body = new ByteArrayOutputStream(INITIAL_CAPACITY);
        }
    }

    private HostReply parseReady(byte[] message) {
        boolean idle = message.length == READY_LENGTH && message[BODY_OFFSET] == 'I';
        check(expected == Expected.READY && idle, "unexpected ReadyForQuery message");
        HostReply reply = replyAtClose();
        reset();
        return reply;
    }

    private void reset() {
        body = new ByteArrayOutputStream(INITIAL_CAPACITY);
        unforwarded = null;
        expected = Expected.DESCRIPTION;
        greeting = false;
        end = null;
        role = ReplicationRole.UNKNOWN;
        appliedPosition = HostReport.UNKNOWN_POSITION;
        commitPosition = HostReport.UNKNOWN_POSITION;
    }

    @Override
    public byte[] pollPart() {
        if (unforwarded == null || unforwarded.size() == 0) {
            return null;
        }
        byte[] bytes = unforwarded.toByteArray();
        unforwarded.reset();
        return bytes;
    }

    @Override
    public HostReply replyAtClose() {
        if (end == null) {
            return null;
        }
        byte[] served = end == ConnectionEnd.SERVED ? body.toByteArray() : null;
        return new HostReply(end, served, new HostReport(role, appliedPosition, commitPosition));
    }

    private void advance(byte[] message, Expected wanted, Expected next, boolean valid) {
        check(expected == wanted && valid, "incomplete message, or unexpected message type");
        expected = next;
        body.writeBytes(message);
    }

    /** Returns whether the message describes one column, with values in text or binary format. */
    private static boolean isDescription(byte[] message) {
        return message.length >= BODY_OFFSET + 2
                && int16(message, BODY_OFFSET) == 1
                && indexOfZero(message, BODY_OFFSET + 2) == message.length - COLUMN_ATTRIBUTES_LENGTH - 1
                && int16(message, message.length - 2) >>> 1 == 0;
    }

    /** Returns whether the message is a row of one column, which takes up the rest of the message. */
    private static boolean isRow(byte[] head, int length) {
        return head.length >= Framer.LONG_MESSAGE_HEAD_LENGTH
                && int16(head, BODY_OFFSET) == 1
                && int32(head, BODY_OFFSET + 2) == length - Framer.LONG_MESSAGE_HEAD_LENGTH;
    }

    private void parseParameter(byte[] message) {
        int nameEnd = indexOfZero(message, BODY_OFFSET);
        int valueEnd = indexOfZero(message, nameEnd + 1);
        check(valueEnd == message.length - 1, "malformed ParameterStatus message");
        String name = text(message, BODY_OFFSET, nameEnd);
        String value = text(message, nameEnd + 1, valueEnd);
        if (name.equals("rank")) {
            role = parseRole(value);
        } else if (name.equals("as_of")) {
            check(NUMBER.matcher(value).matches(), "replication position is not a number");
            appliedPosition = PgPosition.appliedMicros(value, PgPosition.Unit.MILLISECONDS);
            commitPosition = PgPosition.commitMicros(value, PgPosition.Unit.MILLISECONDS);
        }
    }

    private static ReplicationRole parseRole(String rank) {
        return switch (rank) {
            case "source" -> ReplicationRole.PRIMARY;
            case "copy" -> ReplicationRole.REPLICA;
            default -> ReplicationRole.UNKNOWN;
        };
    }

    /** Parses an error. Each of its fields is a type byte and a string; the field C is the SQLSTATE. */
    private static ConnectionEnd parseError(byte[] message) {
        String sqlState = null;
        int field = BODY_OFFSET;
        while (field < message.length && message[field] != 0) {
            int fieldEnd = indexOfZero(message, field + 1);
            if (message[field] == 'C') {
                sqlState = text(message, field + 1, fieldEnd);
            }
            field = fieldEnd + 1;
        }
        check(field == message.length - 1 && sqlState != null, "malformed ErrorResponse message");
        return switch (sqlState) {
            case "25006", "72000" -> ConnectionEnd.MISS;
            case "53300" -> ConnectionEnd.TURNED_AWAY;
            default -> ConnectionEnd.HOST_ERROR;
        };
    }

    private static void check(boolean valid, String error) {
        if (!valid) {
            throw new ProtocolException(error);
        }
    }

    private static int int16(byte[] bytes, int offset) {
        return ((bytes[offset] & 255) << 8) | (bytes[offset + 1] & 255);
    }

    private static int int32(byte[] bytes, int offset) {
        return int16(bytes, offset) << 16 | int16(bytes, offset + 2);
    }

    private static int indexOfZero(byte[] bytes, int from) {
        for (int i = from; i < bytes.length; i++) {
            if (bytes[i] == 0) {
                return i;
            }
        }
        throw new ProtocolException("string without a terminating zero");
    }

    private static String text(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.UTF_8);
    }
}
