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

/** Database hosts that speak PostgreSQL's protocol, version 3: simple queries, no password. */
public final class PgProtocol implements Protocol {
    private static final int PROTOCOL_3 = 196608;
    private static final byte[] STARTUP = new PgWriter()
            .packet(PROTOCOL_3, "user", "web", "database", "orders", "")
            .bytes();
    private static final byte[] HEALTH_CHECK =
            new PgWriter().message('Q', "SHOW vitals").bytes();
    private static final Pattern FIELD = Pattern.compile("(\\w{1,32})=(" + PgPosition.NUMBER + ")");
    private static final String POSITION_FIELD = "x0";
    private static final String PRIMARY_FIELD = "x1";
    private static final double MILLIS_PER_SECOND = 1e3;
    /** Of a row with one column: its type, its length and the number of columns, behind which its length follows. */
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

    /** A report is one column of names and values: {@code x0=...,x1=...}; the position in it is in seconds. */
    @Override
    public HostReport report(byte[] body) {
        ReplicationRole role = ReplicationRole.UNKNOWN;
        long positionMicros = HostReport.UNKNOWN_POSITION;
        for (String part : column(body).split(",", -1)) {
            Matcher field = FIELD.matcher(part);
            if (!field.matches()) {
                throw new ProtocolException("a report that cannot be read");
            }
            double value = Double.parseDouble(field.group(2));
            if (field.group(1).equals(POSITION_FIELD)) {
                positionMicros = PgPosition.toMicros(value * MILLIS_PER_SECOND);
            } else if (field.group(1).equals(PRIMARY_FIELD)) {
                role = value == 1 ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
            }
        }
        return new HostReport(role, positionMicros);
    }

    /** The one column in a reply that was checked by its parser: the description of its row comes first. */
    private static String column(byte[] body) {
        if (body[0] != 'T') {
            throw new ProtocolException("a row too long to be held");
        }
        ByteBuffer messages = ByteBuffer.wrap(body);
        int row = 1 + messages.getInt(1);
        int length = messages.getInt(row + COLUMN_LENGTH_OFFSET);
        return new String(body, row + COLUMN_OFFSET, length, StandardCharsets.UTF_8);
    }
}
