package mintstair.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Writes PostgreSQL messages one after the other. */
public final class PgWriter {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(128);

    /** A message of this type; its body is made of byte arrays, strings (ended by a zero) and 32-bit numbers. */
    public PgWriter message(char type, Object... body) {
        out.write(type);
        return packet(body);
    }

    /** A message without a type. */
    public PgWriter packet(Object... body) {
        ByteArrayOutputStream content = new ByteArrayOutputStream(64);
        for (Object part : body) {
            if (part instanceof byte[] bytes) {
                content.writeBytes(bytes);
            } else if (part instanceof Integer number) {
                int32(content, number);
            } else if (part instanceof Character c) {
                content.write(c);
            } else {
                content.writeBytes(part.toString().getBytes(StandardCharsets.UTF_8));
                content.write(0);
            }
        }
        int32(out, content.size() + 4);
        out.writeBytes(content.toByteArray());
        return this;
    }

    /** What is in the words of the protocol already. */
    public PgWriter raw(byte[] messages) {
        out.writeBytes(messages);
        return this;
    }

    /** An error, with the field D where {@code detail} is not null. */
    public PgWriter error(String severity, String code, String text, String detail) {
        Object[] body = detail == null
                ? new Object[] {'S', severity, 'V', severity, 'C', code, 'M', text, '\0'}
                : new Object[] {'S', severity, 'V', severity, 'C', code, 'M', text, 'D', detail, '\0'};
        return message('E', body);
    }

    public PgWriter ready() {
        return message('Z', 'I');
    }

    public byte[] bytes() {
        return out.toByteArray();
    }

    private static void int32(ByteArrayOutputStream to, int n) {
        to.write(n >>> 24);
        to.write(n >>> 16);
        to.write(n >>> 8);
        to.write(n);
    }
}
