import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Messages of version 3 of PostgreSQL's protocol. */
public final class Pg {
    private Pg() {}

    public static byte[] message(char type, byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length + 5);
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            out.write(type);
            out.writeInt(body.length + 4);
            out.write(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    public static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    public static byte[] startup() {
        byte[] body = text("\0\0\0\0\0\3\0\0user\0web\0database\0orders\0\0");
        body[3] = (byte) body.length;
        return body;
    }

    public static byte[] query(String query) {
        return message('Q', text(query + "\0"));
    }

    public static String insert(String key, String value, String comment) {
        return "INSERT INTO entries (ref, payload) VALUES ('" + key + "', '" + value + "') RETURNING payload /* "
                + comment + " */";
    }

    public static String select(String key, String comment) {
        return "SELECT payload FROM entries WHERE ref = '" + key + "' /* " + comment + " */";
    }

    /** A row of one column, in binary format, and its end. */
    public static byte[] row(byte[] value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            ByteArrayOutputStream description = new ByteArrayOutputStream();
            DataOutputStream fields = new DataOutputStream(description);
            fields.writeShort(1);
            fields.write(text("payload\0"));
            fields.writeInt(0);
            fields.writeShort(0);
            fields.writeInt(17);
            fields.writeShort(-1);
            fields.writeInt(-1);
            fields.writeShort(1);
            bytes.write(message('T', description.toByteArray()));
            ByteArrayOutputStream row = new ByteArrayOutputStream();
            DataOutputStream columns = new DataOutputStream(row);
            columns.writeShort(1);
            columns.writeInt(value.length);
            columns.write(value);
            bytes.write(message('D', row.toByteArray()));
            bytes.write(message('C', text("SELECT 1\0")));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    public static byte[] error(String code) {
        return message('E', text("SERROR\0VERROR\0C" + code + "\0Mas the stand-in says\0\0"));
    }

    public static byte[] parameter(String name, String value) {
        return message('S', text(name + "\0" + value + "\0"));
    }

    public static byte[] ready() {
        return message('Z', new byte[] {'I'});
    }

    public static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    /** Reads one message; its first byte is the type; null at the end of the stream. */
    public static byte[] read(DataInputStream in) throws IOException {
        int type = in.read();
        if (type < 0) {
            return null;
        }
        int length = in.readInt();
        byte[] body = in.readNBytes(length - 4);
        if (body.length < length - 4) {
            return null;
        }
        byte[] message = new byte[body.length + 1];
        message[0] = (byte) type;
        System.arraycopy(body, 0, message, 1, body.length);
        return message;
    }

    /** The code of an ErrorResponse that {@link #read} returned. */
    public static String code(byte[] error) {
        String text = new String(error, 1, error.length - 1, StandardCharsets.UTF_8);
        return text.replaceAll("(?s).*\0C([^\0]*)\0.*", "$1");
    }
}
