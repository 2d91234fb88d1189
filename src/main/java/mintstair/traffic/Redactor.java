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
 * Puts digests of the same length in the places of values in one direction of a PostgreSQL connection, so that a recording can be
 * handed on: in hexadecimal literals of statements, and in rows. Digests are keyed: the same value has the same digest within a run
 * of the program, and can't be guessed without the key. What is no message any more is left out as a whole. Not safe for use by several
 * threads.
 */
public final class Redactor implements UnaryOperator<byte[]> {
    private static final Pattern LITERAL = Pattern.compile("'\\\\x([0-9a-fA-F]*)'");
    private static final int BLOCK = 32;
    private static final byte[] NOTHING = new byte[0];
    private final byte[] key;
    private final boolean ofClient;
    private final Framer framer;
    private final MessageDigest sha;
    private boolean started;
    private boolean broken;
    private int valueLeft;
    private byte[] base;

    private Redactor(byte[] key, boolean ofClient) {
        this.key = key.clone();
        this.ofClient = ofClient;
        framer = ofClient ? new PgFramer.OfClient() : new PgFramer.OfHost();
        try {
            sha = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** For what clients, or the proxy as a client of hosts, say. */
    public static Redactor ofClient(byte[] key) {
        return new Redactor(key, true);
    }

    /** For what the proxy, or a host, answers. */
    public static Redactor ofServer(byte[] key) {
        return new Redactor(key, false);
    }

    @Override
    public byte[] apply(byte[] bytes) {
        if (broken) {
            return NOTHING;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length);
        framer.feed(ByteBuffer.wrap(bytes));
        try {
            for (byte[] m = framer.next(); m != null; m = framer.next()) {
                out.writeBytes(ofClient ? statement(m) : answer(m));
            }
        } catch (ProtocolException e) {
            broken = true;
        }
        return out.toByteArray();
    }

    private byte[] statement(byte[] m) {
        if (!started) {
            started = m.length >= 8 && ByteBuffer.wrap(m).getInt(4) >> 16 == 3;
            return m;
        }
        if (m[0] != 'Q') {
            return m;
        }
        String text = new String(m, StandardCharsets.ISO_8859_1);
        Matcher literal = LITERAL.matcher(text);
        StringBuilder changed = new StringBuilder(text.length());
        int at = 0;
        while (literal.find()) {
            byte[] digits = literal.group(1).getBytes(StandardCharsets.ISO_8859_1);
            base(digits, 0, digits.length);
            StringBuilder digest = new StringBuilder();
            for (int i = 0; digest.length() < digits.length; i++) {
                digest.append(HexFormat.of().formatHex(block(i)));
            }
            changed.append(text, at, literal.start(1)).append(digest, 0, digits.length);
            at = literal.end(1);
        }
        return changed.append(text, at, text.length()).toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A row's value, where it is there whole; of a longer one, which comes in parts, nothing remains but its length. */
    private byte[] answer(byte[] m) {
        if (valueLeft > 0) {
            valueLeft -= m.length;
            return new byte[m.length];
        }
        if (m[0] != 'D') {
            return m;
        }
        valueLeft = Math.max(0, 1 + ByteBuffer.wrap(m).getInt(1) - m.length);
        byte[] changed = m.clone();
        for (int at = Framer.LONG_HEAD; at < m.length; at += BLOCK) {
            if (at == Framer.LONG_HEAD) {
                base(m, at, m.length);
            }
            System.arraycopy(block(at), 0, changed, at, Math.min(BLOCK, m.length - at));
        }
        return changed;
    }

    /** All that follows depends on the whole value. */
    private void base(byte[] bytes, int from, int to) {
        sha.update(key);
        sha.update(bytes, from, to - from);
        base = sha.digest();
    }

    private byte[] block(int number) {
        sha.update(base);
        sha.update(ByteBuffer.allocate(4).putInt(number).array());
        return sha.digest();
    }
}
