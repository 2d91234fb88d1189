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
 * Collects the messages of a reply until the host is ready for the next query. A value is forwarded to a client only if
 * each message of its reply was in its place and complete: hosts have been seen to send noise, and lengths that do not
 * match.
 */
final class PgReplyParser implements Protocol.Parser {
    /** The message that must come next; an error may take the place of any but READY. */
    private enum Expected {
        DESCRIPTION,
        ROW,
        COMPLETION,
        READY
    }

    private static final Pattern NUMBER = Pattern.compile(PgPosition.NUMBER);
    /** Where the body of a message begins, behind its type and length. */
    private static final int BODY = 5;

    private static final int AUTHENTICATION_OK_LENGTH = 9;
    private static final int BACKEND_KEY_LENGTH = 13;
    private static final int READY_LENGTH = 6;
    /** Of a column's description, the bytes behind its name; the last two are the format of its values. */
    private static final int COLUMN_ATTRIBUTES_LENGTH = 18;

    private static final int INITIAL_CAPACITY = 256;

    private ByteArrayOutputStream body = new ByteArrayOutputStream(INITIAL_CAPACITY);
    /** What of a long reply was not forwarded yet; null where the reply is not a long one. */
    private ByteArrayOutputStream part;
    /** How many bytes of a long row are still to come. */
    private int rowRemaining;

    private Expected expected = Expected.DESCRIPTION;
    private boolean greeting = true;
    /** How the reply ends, once that is known. */
    private ConnectionEnd end;

    private ReplicationRole role = ReplicationRole.UNKNOWN;
    private long positionMicros = HostReport.UNKNOWN_POSITION;

    @Override
    public HostReply parse(byte[] message) {
        if (rowRemaining > 0) {
            rowRemaining -= message.length;
            part.writeBytes(message);
            return null;
        }
        switch (message[0]) {
            case 'R' -> authentication(message);
            case 'S' -> parameter(message);
            case 'K' -> check(greeting && message.length == BACKEND_KEY_LENGTH, "a key out of place");
            case 'N', 'A' -> {}
            case 'T' -> advance(message, Expected.DESCRIPTION, Expected.ROW, isDescription(message));
            case 'D' -> row(message);
            case 'C' -> {
                boolean complete = indexOfZero(message, BODY) == message.length - 1;
                advance(message, Expected.COMPLETION, Expected.READY, complete);
                end = ConnectionEnd.SERVED;
            }
            case 'E' -> {
                check(expected != Expected.READY || greeting, "an error out of place");
                end = error(message);
                expected = Expected.READY;
            }
            case 'Z' -> {
                return ready(message);
            }
            default -> throw new ProtocolException("unexpected message");
        }
        return null;
    }

    private void authentication(byte[] message) {
        boolean ok = message.length == AUTHENTICATION_OK_LENGTH && int32(message, BODY) == 0;
        check(greeting && ok, "the host asks for a password");
        expected = Expected.READY;
        end = ConnectionEnd.SERVED;
    }

    /** Of a long row this is the first part; from here on its reply is forwarded and cannot be replaced by another. */
    private void row(byte[] head) {
        int length = 1 + int32(head, 1);
        advance(head, Expected.ROW, Expected.COMPLETION, isRow(head, length));
        if (length > head.length) {
            rowRemaining = length - head.length;
            part = body;
            body = new ByteArrayOutputStream(INITIAL_CAPACITY);
        }
    }

    private HostReply ready(byte[] message) {
        boolean idle = message.length == READY_LENGTH && message[BODY] == 'I';
        check(expected == Expected.READY && idle, "not ready for the next");
        HostReply reply = replyAtClose();
        reset();
        return reply;
    }

    private void reset() {
        body = new ByteArrayOutputStream(INITIAL_CAPACITY);
        part = null;
        expected = Expected.DESCRIPTION;
        greeting = false;
        end = null;
        role = ReplicationRole.UNKNOWN;
        positionMicros = HostReport.UNKNOWN_POSITION;
    }

    @Override
    public byte[] pollPart() {
        if (part == null || part.size() == 0) {
            return null;
        }
        byte[] bytes = part.toByteArray();
        part.reset();
        return bytes;
    }

    @Override
    public HostReply replyAtClose() {
        if (end == null) {
            return null;
        }
        byte[] served = end == ConnectionEnd.SERVED ? body.toByteArray() : null;
        return new HostReply(end, served, new HostReport(role, positionMicros));
    }

    private void advance(byte[] message, Expected wanted, Expected next, boolean valid) {
        check(expected == wanted && valid, "an answer that is not whole");
        expected = next;
        body.writeBytes(message);
    }

    /** Whether it describes one column, whose values are text or binary. */
    private static boolean isDescription(byte[] message) {
        return message.length >= BODY + 2
                && int16(message, BODY) == 1
                && indexOfZero(message, BODY + 2) == message.length - COLUMN_ATTRIBUTES_LENGTH - 1
                && int16(message, message.length - 2) >>> 1 == 0;
    }

    /** Whether it is a row of one column, the length of which is that of the message's rest. */
    private static boolean isRow(byte[] head, int length) {
        return head.length >= Framer.LONG_MESSAGE_HEAD_LENGTH
                && int16(head, BODY) == 1
                && int32(head, BODY + 2) == length - Framer.LONG_MESSAGE_HEAD_LENGTH;
    }

    private void parameter(byte[] message) {
        int nameEnd = indexOfZero(message, BODY);
        int valueEnd = indexOfZero(message, nameEnd + 1);
        check(valueEnd == message.length - 1, "a parameter that is not whole");
        String name = text(message, BODY, nameEnd);
        String value = text(message, nameEnd + 1, valueEnd);
        if (name.equals("rank")) {
            role = role(value);
        } else if (name.equals("as_of")) {
            check(NUMBER.matcher(value).matches(), "a position that is no number");
            positionMicros = PgPosition.toMicros(Double.parseDouble(value));
        }
    }

    private static ReplicationRole role(String rank) {
        return switch (rank) {
            case "source" -> ReplicationRole.PRIMARY;
            case "copy" -> ReplicationRole.REPLICA;
            default -> ReplicationRole.UNKNOWN;
        };
    }

    /** The fields of an error are a type byte and a text each; C is its SQLSTATE. */
    private static ConnectionEnd error(byte[] message) {
        String sqlState = null;
        int field = BODY;
        while (field < message.length && message[field] != 0) {
            int fieldEnd = indexOfZero(message, field + 1);
            if (message[field] == 'C') {
                sqlState = text(message, field + 1, fieldEnd);
            }
            field = fieldEnd + 1;
        }
        check(field == message.length - 1 && sqlState != null, "an error that is not whole");
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
        throw new ProtocolException("a text without its end");
    }

    private static String text(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.UTF_8);
    }
}
