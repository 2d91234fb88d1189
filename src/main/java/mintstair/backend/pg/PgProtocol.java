package mintstair.backend.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import mintstair.backend.Protocol;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostRole;
import mintstair.request.Note;
import mintstair.request.Reply;
import mintstair.wire.Framer;
import mintstair.wire.PgFramer;
import mintstair.wire.PgWriter;
import mintstair.wire.ProtocolException;

/** Db hosts that speak PostgreSQL's protocol, version 3: simple queries, no password. */
public final class PgProtocol implements Protocol {
    private static final byte[] GREETING = new PgWriter()
        .packet(196608, "user", "web", "database", "orders", "").bytes();
    private static final byte[] PROBE = new PgWriter().message('Q', "SHOW vitals").bytes();

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
    public Note report(byte[] body) {
        HostRole role = HostRole.UNTOLD;
        long position = Note.UNKNOWN;
        for (String field : row(body).split(",")) {
            if (field.startsWith("x0=")) {
                position = Math.round(PgParser.number(field.substring(3)) * 1e6);
            } else if (field.startsWith("x1=")) {
                role = PgParser.number(field.substring(3)) == 1 ? HostRole.PRIMARY : HostRole.REPLICA;
            }
        }
        return new Note(role, position);
    }

    /** The one column of the row among a reply's messages; what follows it is no part of the report. */
    private static String row(byte[] body) {
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.remaining() >= 5) {
            byte type = in.get();
            int length = in.getInt(in.position());
            if (type == 'D' && length >= 10) {
                int start = in.position() + 10;
                return PgParser.text(body, start, Math.min(body.length, start + Math.max(0, in.getInt(start - 4))));
            }
            in.position(Math.min(body.length, in.position() + length));
        }
        return "";
    }

    /** Collects the messages of a reply until the host is ready again. */
    static final class PgParser implements Parser {
        private ByteArrayOutputStream body = new ByteArrayOutputStream(256);
        private ConnectionEnd end;
        private HostRole role = HostRole.UNTOLD;
        private long position = Note.UNKNOWN;
        private boolean row;

        @Override
        public Reply take(byte[] m) {
            switch (m[0]) {
                case 'R' -> {
                    if (m.length < 9 || m[5] != 0 || m[6] != 0 || m[7] != 0 || m[8] != 0) {
                        throw new ProtocolException("the host asks for a password");
                    }
                }
                case 'S' -> parameter(m);
                case 'T' -> body.writeBytes(m);
                case 'D' -> {
                    row = true;
                    body.writeBytes(m);
                }
                case 'C' -> {
                    body.writeBytes(m);
                    end = end == null && row ? ConnectionEnd.SERVED : end;
                }
                case 'E' -> end = error(m);
                case 'Z' -> {
                    Reply reply = atEnd();
                    body = new ByteArrayOutputStream(256);
                    end = null;
                    row = false;
                    role = HostRole.UNTOLD;
                    position = Note.UNKNOWN;
                    return reply == null ? Reply.of(ConnectionEnd.HOST_ERROR) : reply;
                }
                case 'K', 'N', 'I', 'A' -> { }
                default -> throw new ProtocolException("unexpected message " + (char) m[0]);
            }
            return null;
        }

        @Override
        public Reply atEnd() {
            return end == null ? null : new Reply(end, end == ConnectionEnd.SERVED ? body.toByteArray() : null,
                new Note(role, position));
        }

        private void parameter(byte[] m) {
            int split = zero(m, 5);
            String name = text(m, 5, split);
            String value = text(m, split + 1, zero(m, split + 1));
            if (name.equals("rank")) {
                role = value.equals("source") ? HostRole.PRIMARY
                    : value.equals("copy") ? HostRole.REPLICA : HostRole.UNTOLD;
            } else if (name.equals("as_of")) {
                position = Math.round(number(value) * 1000);
            }
        }

        private static ConnectionEnd error(byte[] m) {
            for (int at = 5; at < m.length && m[at] != 0;) {
                int stop = zero(m, at + 1);
                if (m[at] == 'C') {
                    return switch (text(m, at + 1, stop)) {
                        case "25006", "72000" -> ConnectionEnd.MISS;
                        case "53300" -> ConnectionEnd.TURNED_AWAY;
                        default -> ConnectionEnd.HOST_ERROR;
                    };
                }
                at = stop + 1;
            }
            return ConnectionEnd.HOST_ERROR;
        }

        private static double number(String text) {
            try {
                return Double.parseDouble(text);
            } catch (NumberFormatException e) {
                throw new ProtocolException("not a number: " + text);
            }
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
