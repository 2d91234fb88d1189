package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import mintstair.standin.Client;
import org.junit.jupiter.api.Test;

/** Values are replaced by digests, however their bytes come in. */
class RedactorTest {
    private static final byte[] KEY = new byte[32];
    private static final byte[] STATEMENT = Client.Pg.query(
            "INSERT INTO entries (ref, payload) VALUES ('7f', '\\x9f030102')" + " RETURNING payload /* id=a,c=w */");
    private static final byte[] STATEMENTS = join(Client.Pg.startup(), STATEMENT, STATEMENT);
    private static final byte[] ROW =
            PgMessages.row("a secret value of some length that takes more than one block of digest");
    private static final byte[] ROWS = join(PgMessages.authenticated(), ROW, ROW);

    @Test
    void literalsOfStatementsAreReplacedInTheirLength() {
        for (int seed = 0; seed < 50; seed++) {
            String redacted = redactInPieces(Redactor.ofClient(KEY), STATEMENTS, seed);

            assertEquals(STATEMENTS.length, redacted.length());
            assertFalse(redacted.contains("9f030102"));
            assertTrue(redacted.contains("'7f', '\\x") && redacted.contains("/* id=a,c=w */"), redacted);
            assertLastTwoAreEqual(redacted, STATEMENT.length);
        }
    }

    @Test
    void valuesOfRowsAreReplacedInTheirLength() {
        for (int seed = 0; seed < 50; seed++) {
            String redacted = redactInPieces(Redactor.ofServer(KEY), ROWS, seed);

            assertFalse(redacted.contains("secret"));
            assertLastTwoAreEqual(redacted, ROW.length);
        }
    }

    /** The same value has the same digest. */
    private static void assertLastTwoAreEqual(String redacted, int length) {
        int last = redacted.length() - length;
        assertEquals(redacted.substring(last), redacted.substring(last - length, last));
    }

    @Test
    void digestsDependOnTheKey() {
        byte[] otherKey = {1};
        assertNotEquals(
                latin1(Redactor.ofClient(otherKey).apply(STATEMENTS)),
                latin1(Redactor.ofClient(KEY).apply(STATEMENTS)));
    }

    @Test
    void longValuesLeaveNothingButTheirLength() {
        byte[] rows = join(PgMessages.authenticated(), PgMessages.row("x".repeat(200_000)));

        String redacted = redactInPieces(Redactor.ofServer(KEY), rows, 3);

        assertFalse(redacted.contains("xxxxxxxx"));
    }

    private static String latin1(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }

    private static String redactInPieces(Redactor redactor, byte[] bytes, int seed) {
        Random random = new Random(seed);
        ByteArrayOutputStream redacted = new ByteArrayOutputStream();
        int from = 0;
        while (from < bytes.length) {
            int length = Math.min(bytes.length - from, 1 + random.nextInt(60));
            redacted.writeBytes(redactor.apply(Arrays.copyOfRange(bytes, from, from + length)));
            from += length;
        }
        return redacted.toString(StandardCharsets.ISO_8859_1);
    }
}
