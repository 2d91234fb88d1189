package mintstair.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Encodes a sequence of PostgreSQL messages. Not thread-safe. */
public final class PgWriter {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(128);

    /**
     * Appends a message of this type.
     *
     * @param body byte arrays, strings (each is terminated by a zero), 32-bit integers and characters (one byte each)
     */
    public PgWriter message(char type, Object... body) {
        out.write(type);
        return packet(body);
    }

    /** Appends a message without a type. Its body is encoded as in {@link #message}. */
    public PgWriter packet(Object... body) {
        ByteArrayOutputStream content = new ByteArrayOutputStream(64);
        for (Object part : body) {
            writePart(content, part);
        }
        writeInt32(out, content.size() + Integer.BYTES);
        out.writeBytes(content.toByteArray());
        return this;
    }

    private static void writePart(ByteArrayOutputStream to, Object part) {
        if (part instanceof byte[] bytes) {
            to.writeBytes(bytes);
        } else if (part instanceof Integer number) {
            writeInt32(to, number);
        } else if (part instanceof Character character) {
            to.write(character);
        } else {
            to.writeBytes(part.toString().getBytes(StandardCharsets.UTF_8));
            to.write(0);
        }
    }

    /** Appends messages that are already encoded. */
    public PgWriter raw(byte[] messages) {
        out.writeBytes(messages);
        return this;
    }

    /**
     * Appends an error message.
     *
     * @param severity {@code ERROR}, or {@code FATAL} if the connection is closed after it
     * @param code the SQLSTATE
     * @param text the field M, the error message
     * @param detail the field D, the details of the error; null for none
     */
    public PgWriter error(String severity, String code, String text, String detail) {
        Object[] body = detail == null
                ? new Object[] {'S', severity, 'V', severity, 'C', code, 'M', text, '\0'}
                : new Object[] {'S', severity, 'V', severity, 'C', code, 'M', text, 'D', detail, '\0'};
        return message('E', body);
    }

    /** Appends ReadyForQuery with the status of a session that is not in a transaction. */
    public PgWriter ready() {
        return message('Z', 'I');
    }

    /** Returns all messages that were appended so far. */
    public byte[] bytes() {
        return out.toByteArray();
    }

    private static void writeInt32(ByteArrayOutputStream to, int number) {
        to.write(number >>> 24);
        to.write(number >>> 16);
        to.write(number >>> 8);
        to.write(number);
    }
}
