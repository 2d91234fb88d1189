package mintstair.traffic;

import java.nio.charset.StandardCharsets;
import mintstair.wire.PgWriter;

/** What a PostgreSQL server sends in these tests. */
final class PgMessages {
    private PgMessages() {}

    /** The end of the start-up. */
    static byte[] authenticated() {
        return new PgWriter().message('R', 0).ready().bytes();
    }

    /** A result of one row with one value. */
    static byte[] row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', bytes.length, bytes)
                .message('C', "SELECT 1")
                .ready()
                .bytes();
    }

    /** The response to an empty query. */
    static byte[] emptyQueryResponse() {
        return new PgWriter().message('I').ready().bytes();
    }

    static byte[] error(String code, String text, String detail) {
        return new PgWriter().error("ERROR", code, text, detail).ready().bytes();
    }
}
