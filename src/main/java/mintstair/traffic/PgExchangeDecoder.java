package mintstair.traffic;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import mintstair.pcap.DropCounters;
import mintstair.wire.Framer;
import mintstair.wire.PgFramer;

/** PostgreSQL's protocol: simple queries, answered in their order. Without the beginning of a connection it is entered at a query. */
final class PgExchangeDecoder extends ExchangeDecoder {
    private static final int NO_NUMBER = 0;
    private boolean started;
    /** The first ReadyForQuery answers the start-up, though a query may have come with that. */
    private boolean greeted;

    private long digest;
    private int valueLeft;
    private RecordedExchange.Result result = RecordedExchange.Result.NONE;
    private long comeBack;
    private long heardAt;

    PgExchangeDecoder(int connection, boolean fromStart, DropCounters losses, Consumer<RecordedExchange> out) {
        super(
                connection,
                fromStart ? new PgFramer.OfClient() : PgFramer.OfClient.started(),
                new PgFramer.OfHost(),
                losses,
                out);
        started = !fromStart;
        greeted = !fromStart;
    }

    @Override
    protected void asked(long nanos, byte[] m) {
        if (!started) {
            started = ByteBuffer.wrap(m).getInt(4) >> 16 == 3;
            return;
        }
        if (m[0] != 'Q') {
            return;
        }
        String query = new String(m, 5, Math.max(0, m.length - 6), StandardCharsets.ISO_8859_1);
        int from = query.lastIndexOf("/*");
        int to = query.indexOf("*/", from + 2);
        Map<String, String> values = from < 0 || to < 0 ? Map.of() : comment(query.substring(from + 2, to));
        boolean request = values.containsKey("id");
        int quote = query.indexOf('\'');
        int close = query.indexOf('\'', quote + 1);
        opened(new Open(
                nanos,
                m,
                query.stripLeading().regionMatches(true, 0, "INSERT ", 0, 7),
                quote < 0 || close < 0 ? null : query.substring(quote + 1, close),
                request ? values : null,
                number(values.get("d"), 0),
                NO_NUMBER));
    }

    /** After a fatal error no ReadyForQuery comes. */
    @Override
    protected void ending() {
        if (result == RecordedExchange.Result.REFUSED || result == RecordedExchange.Result.FAILED) {
            Open request = open.poll();
            if (request != null) {
                tell(request, heardAt, result, comeBack, 0);
            }
        }
    }

    @Override
    protected void answered(long nanos, byte[] m) {
        heardAt = nanos;
        if (valueLeft > 0) {
            digest = digest(digest, m, 0, m.length);
            valueLeft -= m.length;
            return;
        }
        switch (m[0]) {
            case 'D' -> {
                // Of a long one this is the head; its column's bytes begin behind the count and the length.
                digest = digest(0, m, Math.min(m.length, Framer.LONG_HEAD), m.length);
                valueLeft = Math.max(0, 1 + ByteBuffer.wrap(m).getInt(1) - m.length);
            }
            case 'C' -> result = RecordedExchange.Result.SERVED;
            case 'E' -> error(m);
            case 'Z' -> {
                Open request = greeted ? open.poll() : null;
                greeted = true;
                if (request != null) {
                    boolean served = result == RecordedExchange.Result.SERVED;
                    tell(request, nanos, result, comeBack, served ? digest : 0);
                }
                result = RecordedExchange.Result.NONE;
                comeBack = 0;
                digest = 0;
            }
            default -> {}
        }
    }

    private void error(byte[] m) {
        result = RecordedExchange.Result.FAILED;
        for (int at = 5; at < m.length && m[at] != 0; ) {
            int end = at + 1;
            while (end < m.length && m[end] != 0) {
                end++;
            }
            String text = new String(m, at + 1, end - at - 1, StandardCharsets.ISO_8859_1);
            if (m[at] == 'C' && (text.equals("53300") || text.equals("57P03"))) {
                result = RecordedExchange.Result.REFUSED;
            } else if (m[at] == 'D') {
                comeBack = number(text, 0);
            }
            at = end + 1;
        }
    }
}
