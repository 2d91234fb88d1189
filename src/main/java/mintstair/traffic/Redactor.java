package mintstair.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.wire.Framer;
import mintstair.wire.PgFramer;
import mintstair.wire.ProtocolException;

/**
 * Replaces values in one direction of a PostgreSQL connection by digests of the same length, so that a recording
 * can be handed on: in hexadecimal literals of statements, and in rows. Digests are keyed (SHA-256 of the key and
 * the value, extended by counters): equal values have equal digests under one key, and short values can't be
 * guessed without it. Bytes that are no message are left out, and all that follow them. Not safe for use by several
 * threads.
 */
public final class Redactor implements UnaryOperator<byte[]> {
    private static final Pattern HEX_LITERAL = Pattern.compile("'\\\\x([0-9a-fA-F]*)'");
    private static final int DIGEST_BYTES = 32;
    private static final int PROTOCOL_MAJOR = 3;
    private static final byte QUERY = 'Q';
    private static final byte DATA_ROW = 'D';
    private static final byte[] NO_BYTES = new byte[0];

    private final byte[] key;
    private final boolean fromClient;
    private final Framer framer;
    private final MessageDigest sha256 = newSha256();
    private boolean started;
    private boolean broken;
    private int remainingValueBytes;

    private Redactor(byte[] key, boolean fromClient) {
        this.key = key.clone();
        this.fromClient = fromClient;
        framer = fromClient ? new PgFramer.ClientMessageFramer() : new PgFramer.HostMessageFramer();
    }

    private static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** For what a client sends, or the proxy as a client of hosts. */
    public static Redactor ofClient(byte[] key) {
        return new Redactor(key, true);
    }

    /** For what the proxy sends to clients, or a host to the proxy. */
    public static Redactor ofServer(byte[] key) {
        return new Redactor(key, false);
    }

    /** Takes the next bytes; returns the redacted messages that are whole with them. */
    @Override
    public byte[] apply(byte[] bytes) {
        if (broken) {
            return NO_BYTES;
        }
        ByteArrayOutputStream redacted = new ByteArrayOutputStream(bytes.length);
        framer.feed(ByteBuffer.wrap(bytes));
        try {
            for (byte[] message = framer.next(); message != null; message = framer.next()) {
                redacted.writeBytes(fromClient ? redactStatement(message) : redactRow(message));
            }
        } catch (ProtocolException e) {
            // Where the next message begins is unknown: values in what follows can't be found.
            broken = true;
        }
        return redacted.toByteArray();
    }

    private byte[] redactStatement(byte[] message) {
        if (!started) {
            started = message.length >= 8 && ByteBuffer.wrap(message).getInt(4) >> 16 == PROTOCOL_MAJOR;
            return message;
        }
        if (message[0] != QUERY) {
            return message;
        }
        String text = new String(message, StandardCharsets.ISO_8859_1);
        Matcher literal = HEX_LITERAL.matcher(text);
        StringBuilder redacted = new StringBuilder(text.length());
        int copied = 0;
        while (literal.find()) {
            redacted.append(text, copied, literal.start(1)).append(hexDigest(literal.group(1)));
            copied = literal.end(1);
        }
        redacted.append(text, copied, text.length());
        return redacted.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A digest of as many hexadecimal digits. */
    private String hexDigest(String digits) {
        byte[] value = digits.getBytes(StandardCharsets.ISO_8859_1);
        byte[] valueDigest = keyedDigest(value, 0);
        StringBuilder hex = new StringBuilder();
        for (int counter = 0; hex.length() < digits.length(); counter++) {
            hex.append(HexFormat.of().formatHex(block(valueDigest, counter)));
        }
        return hex.substring(0, digits.length());
    }

    /**
     * A value of a row that comes whole gets a digest; one that comes in parts is replaced by zeros of its length.
     */
    private byte[] redactRow(byte[] message) {
        if (remainingValueBytes > 0) {
            remainingValueBytes -= message.length;
            return new byte[message.length];
        }
        if (message[0] != DATA_ROW) {
            return message;
        }
        int wholeLength = 1 + ByteBuffer.wrap(message).getInt(1);
        remainingValueBytes = Math.max(0, wholeLength - message.length);
        if (message.length <= Framer.LONG_MESSAGE_HEAD_LENGTH) {
            return message.clone();
        }
        byte[] redacted = message.clone();
        byte[] valueDigest = keyedDigest(message, Framer.LONG_MESSAGE_HEAD_LENGTH);
        for (int position = Framer.LONG_MESSAGE_HEAD_LENGTH; position < message.length; position += DIGEST_BYTES) {
            int length = Math.min(DIGEST_BYTES, message.length - position);
            System.arraycopy(block(valueDigest, position), 0, redacted, position, length);
        }
        return redacted;
    }

    private byte[] keyedDigest(byte[] bytes, int from) {
        sha256.update(key);
        sha256.update(bytes, from, bytes.length - from);
        return sha256.digest();
    }

    private byte[] block(byte[] valueDigest, int counter) {
        sha256.update(valueDigest);
        sha256.update(ByteBuffer.allocate(Integer.BYTES).putInt(counter).array());
        return sha256.digest();
    }
}
