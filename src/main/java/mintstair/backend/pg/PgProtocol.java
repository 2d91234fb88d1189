package mintstair.backend.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.backend.Protocol;
import mintstair.request.HostReport;
import mintstair.request.ReplicationRole;
import mintstair.wire.Framer;
import mintstair.wire.PgFramer;
import mintstair.wire.PgWriter;
import mintstair.wire.ProtocolException;

/** The protocol of PostgreSQL hosts: version 3, with simple queries and without a password. */
public final class PgProtocol implements Protocol {
    private static final int PROTOCOL_3 = 196608;
    private static final byte[] STARTUP = new PgWriter()
            .packet(PROTOCOL_3, "user", "web", "database", "orders", "")
            .bytes();
    private static final byte[] HEALTH_CHECK =
            new PgWriter().message('Q', "SHOW vitals").bytes();
    private static final Pattern FIELD = Pattern.compile("(\\w{1,32})=(" + PgPosition.NUMBER_PATTERN + ")");
    private static final String POSITION_FIELD = "x0";
    private static final String PRIMARY_FIELD = "x1";
    /** The offset of the column's length in a row with one column, after the type, the length and the column count. */
    private static final int COLUMN_LENGTH_OFFSET = 7;

    private static final int COLUMN_OFFSET = COLUMN_LENGTH_OFFSET + Integer.BYTES;

    @Override
    public byte[] greeting() {
        return STARTUP;
    }

    @Override
    public byte[] healthCheck() {
        return HEALTH_CHECK;
    }

    @Override
    public Framer newFramer() {
        return new PgFramer.HostMessageFramer();
    }

    @Override
    public Parser newParser() {
        return new PgReplyParser();
    }

    /** Decodes a report, which is one column of names and values: {@code x0=...,x1=...}. Its position is in seconds. */
    @Override
    public HostReport decodeReport(byte[] body) {
        ReplicationRole role = ReplicationRole.UNKNOWN;
        long appliedPosition = HostReport.UNKNOWN_POSITION;
        for (String part : columnText(body).split(",", -1)) {
            Matcher field = FIELD.matcher(part);
            if (!field.matches()) {
                throw new ProtocolException("malformed field in the host report");
            }
            String value = field.group(2);
            if (field.group(1).equals(POSITION_FIELD)) {
                appliedPosition = PgPosition.appliedMicros(value, PgPosition.Unit.SECONDS);
            } else if (field.group(1).equals(PRIMARY_FIELD)) {
                role = Double.parseDouble(value) == 1 ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
            }
        }
        return new HostReport(role, appliedPosition, HostReport.UNKNOWN_POSITION);
    }

    /**
     * Returns the only column of a reply, which the parser has validated. The row description precedes the row, unless
     * the row was so long that it was forwarded in parts.
     */
    private static String columnText(byte[] body) {
        if (body[0] != 'T') {
            throw new ProtocolException("host report exceeds the length of a row that is not forwarded in parts");
        }
        ByteBuffer messages = ByteBuffer.wrap(body);
        int row = 1 + messages.getInt(1);
        int length = messages.getInt(row + COLUMN_LENGTH_OFFSET);
        return new String(body, row + COLUMN_OFFSET, length, StandardCharsets.UTF_8);
    }
}
