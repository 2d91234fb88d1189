package mintstair.backend.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.backend.Protocol;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.request.ReplicationRole;
import mintstair.wire.Framer;
import mintstair.wire.PgFramer;
import mintstair.wire.PgWriter;
import mintstair.wire.ProtocolException;

/** Db hosts that speak PostgreSQL's protocol, version 3: simple queries, no password. */
public final class PgProtocol implements Protocol {
    private static final byte[] GREETING = new PgWriter()
            .packet(196608, "user", "web", "database", "orders", "")
            .bytes();
    private static final String DIGITS = "\\d{1,14}(?:\\.\\d{1,20})?(?:[eE][-+]?\\d{1,2})?";
    /** Milliseconds: what lies beyond is no position, and would make any read seem fresh enough. */
    private static final double LAST_POSITION = 1e14;

    private static final Pattern NUMBER = Pattern.compile(DIGITS);
    private static final Pattern FIELD = Pattern.compile("(\\w{1,32})=(" + DIGITS + ")");
    private static final byte[] PROBE =
            new PgWriter().message('Q', "SHOW vitals").bytes();

    @Override
    public byte[] greeting() {
        return GREETING;
    }

    @Override
    public byte[] probe() {
        return PROBE;
    }

    @Override
    public Framer newFramer() {
        return new PgFramer.OfHost();
    }

    @Override
    public Parser newParser() {
        return new PgParser();
    }

    /** A report is one column of names and values: {@code x0=...,x1=...}; positions are in seconds there. */
    @Override
    public HostReport report(byte[] body) {
        ReplicationRole role = ReplicationRole.UNKNOWN;
        long position = HostReport.UNKNOWN;
        for (String field : row(body).split(",", -1)) {
            Matcher m = FIELD.matcher(field);
            if (!m.matches()) {
                throw new ProtocolException("a report that cannot be read");
            }
            if (m.group(1).equals("x0")) {
                position = position(Double.parseDouble(m.group(2)) * 1e3);
            } else if (m.group(1).equals("x1")) {
                role = Double.parseDouble(m.group(2)) == 1 ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
            }
        }
        return new HostReport(role, position);
    }

    private static long position(double millis) {
        if (millis > LAST_POSITION) {
            throw new ProtocolException("a position that cannot be");
        }
        return Math.round(millis * 1000);
    }

    /** The one column of the row in a reply that was checked: it stands behind the description of its row. */
    private static String row(byte[] body) {
        if (body[0] != 'T') {
            throw new ProtocolException("a row too long to be held");
        }
        int at = 1 + ByteBuffer.wrap(body).getInt(1);
        int length = ByteBuffer.wrap(body).getInt(at + 7);
        return new String(body, at + 11, length, StandardCharsets.UTF_8);
    }

    /**
     * Collects the messages of a reply until the host is ready again. A value goes on to a client only if every message
     * of its reply was in its place and whole: hosts have been seen to send noise, and lengths that do not fit.
     */
    static final class PgParser implements Parser {
        /** What a reply must bring next; an error may take the place of any of these. */
        private enum Due {
            DESCRIPTION,
            ROW,
            COMPLETION,
            READY
        }

        private static final int READY_LENGTH = 6;
        private ByteArrayOutputStream body = new ByteArrayOutputStream(256);
        private ByteArrayOutputStream part;
        private int valueLeft;
        private Due due = Due.DESCRIPTION;
        private boolean greeting = true;
        private ConnectionEnd end;
        private ReplicationRole role = ReplicationRole.UNKNOWN;
        private long position = HostReport.UNKNOWN;

        @Override
        public HostReply take(byte[] m) {
            if (valueLeft > 0) {
                valueLeft -= m.length;
                part.writeBytes(m);
                return null;
            }
            switch (m[0]) {
                case 'R' -> {
                    check(greeting && m.length == 9 && int32(m, 5) == 0, "the host asks for a password");
                    due = Due.READY;
                    end = ConnectionEnd.SERVED;
                }
                case 'S' -> parameter(m);
                case 'K' -> check(greeting && m.length == 13, "a key out of place");
                case 'N', 'A' -> {}
                case 'T' -> next(m, Due.DESCRIPTION, Due.ROW, isDescription(m));
                case 'D' -> {
                    // Of a long one this is the head, and what goes on from here on cannot be taken back.
                    int length = 1 + int32(m, 1);
                    next(m, Due.ROW, Due.COMPLETION, isRow(m, length));
                    if (length > m.length) {
                        valueLeft = length - m.length;
                        part = body;
                        body = new ByteArrayOutputStream(256);
                    }
                }
                case 'C' -> {
                    next(m, Due.COMPLETION, Due.READY, zero(m, 5) == m.length - 1);
                    end = ConnectionEnd.SERVED;
                }
                case 'E' -> {
                    check(due != Due.READY || greeting, "an error out of place");
                    end = error(m);
                    due = Due.READY;
                }
                case 'Z' -> {
                    check(due == Due.READY && m.length == READY_LENGTH && m[5] == 'I', "not ready for the next");
                    HostReply reply = atEnd();
                    body = new ByteArrayOutputStream(256);
                    part = null;
                    due = Due.DESCRIPTION;
                    greeting = false;
                    end = null;
                    role = ReplicationRole.UNKNOWN;
                    position = HostReport.UNKNOWN;
                    return reply;
                }
                default -> throw new ProtocolException("unexpected message");
            }
            return null;
        }

        @Override
        public byte[] takePart() {
            if (part == null || part.size() == 0) {
                return null;
            }
            byte[] taken = part.toByteArray();
            part.reset();
            return taken;
        }

        @Override
        public HostReply atEnd() {
            return end == null
                    ? null
                    : new HostReply(
                            end,
                            end == ConnectionEnd.SERVED ? body.toByteArray() : null,
                            new HostReport(role, position));
        }

        private void next(byte[] m, Due wanted, Due then, boolean whole) {
            check(due == wanted && whole, "an answer that is not whole");
            due = then;
            body.writeBytes(m);
        }

        /** One column: its name, then 18 bytes, of which the last two say whether its values are text or binary. */
        private static boolean isDescription(byte[] m) {
            return m.length >= 7
                    && int16(m, 5) == 1
                    && zero(m, 7) == m.length - 19
                    && int16(m, m.length - 2) >>> 1 == 0;
        }

        /** One column, whose length is that of the message's rest. */
        private static boolean isRow(byte[] m, int length) {
            return m.length >= Framer.LONG_HEAD && int16(m, 5) == 1 && int32(m, 7) == length - Framer.LONG_HEAD;
        }

        private void parameter(byte[] m) {
            int split = zero(m, 5);
            int stop = zero(m, split + 1);
            check(stop == m.length - 1, "a parameter that is not whole");
            String name = text(m, 5, split);
            String value = text(m, split + 1, stop);
            if (name.equals("rank")) {
                role = value.equals("source")
                        ? ReplicationRole.PRIMARY
                        : value.equals("copy") ? ReplicationRole.REPLICA : ReplicationRole.UNKNOWN;
            } else if (name.equals("as_of")) {
                check(NUMBER.matcher(value).matches(), "a position that is no number");
                position = position(Double.parseDouble(value));
            }
        }

        private static ConnectionEnd error(byte[] m) {
            String code = null;
            int at = 5;
            while (at < m.length && m[at] != 0) {
                int stop = zero(m, at + 1);
                code = m[at] == 'C' ? text(m, at + 1, stop) : code;
                at = stop + 1;
            }
            check(at == m.length - 1 && code != null, "an error that is not whole");
            return switch (code) {
                case "25006", "72000" -> ConnectionEnd.MISS;
                case "53300" -> ConnectionEnd.TURNED_AWAY;
                default -> ConnectionEnd.HOST_ERROR;
            };
        }

        private static void check(boolean holds, String otherwise) {
            if (!holds) {
                throw new ProtocolException(otherwise);
            }
        }

        private static int int16(byte[] m, int at) {
            return (m[at] & 255) << 8 | (m[at + 1] & 255);
        }

        private static int int32(byte[] m, int at) {
            return int16(m, at) << 16 | int16(m, at + 2);
        }

        private static int zero(byte[] m, int from) {
            for (int i = from; i < m.length; i++) {
                if (m[i] == 0) {
                    return i;
                }
            }
            throw new ProtocolException("a text without its end");
        }

        private static String text(byte[] m, int from, int to) {
            return new String(m, from, to - from, StandardCharsets.UTF_8);
        }
    }
}
