package mintstair.traffic;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import mintstair.pcap.DropCounters;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/**
 * One connection of a recording, read as a protocol: requests wait for their answers in the order of the protocol. What can't be
 * read any more ends there; what is open then has no answer. Bounded: of more open requests than a front takes, the oldest are
 * given out without an answer.
 */
abstract class ExchangeDecoder {
    private static final int MOST_OPEN = 1_024;
    private static final Pattern NUMBER = Pattern.compile("\\d{1,15}");

    /** What is known of a request before its answer; {@code null} in {@link #asked} for a command that is no request. */
    static final class Open {
        final long nanos;
        final byte[] message;
        final boolean write;
        final String session;
        final Map<String, String> values;
        final long deadline;
        /** What an answer names it by, where the protocol has that. */
        final int number;

        Open(
                long nanos,
                byte[] message,
                boolean write,
                String session,
                Map<String, String> values,
                long deadline,
                int number) {
            this.nanos = nanos;
            this.message = message;
            this.write = write;
            this.session = session;
            this.values = values;
            this.deadline = deadline;
            this.number = number;
        }
    }

    private final int connection;
    private final DropCounters losses;
    private final Consumer<RecordedExchange> out;
    private final Framer asked;
    private final Framer answered;
    private boolean askedOver;
    private boolean answeredOver;
    /** Requests, and commands that are none, in the order in which they came. */
    protected final ArrayDeque<Open> open = new ArrayDeque<>();

    ExchangeDecoder(
            int connection, Framer asked, Framer answered, DropCounters losses, Consumer<RecordedExchange> out) {
        this.connection = connection;
        this.asked = asked;
        this.answered = answered;
        this.losses = losses;
        this.out = out;
    }

    /** A whole message of the client's. */
    protected abstract void asked(long nanos, byte[] message);

    /** A whole message, or a part of a long one, of the server's. */
    protected abstract void answered(long nanos, byte[] message);

    final void said(long nanos, boolean byClient, byte[] bytes, int from, int to) {
        if (byClient ? askedOver : answeredOver) {
            return;
        }
        Framer framer = byClient ? asked : answered;
        framer.feed(ByteBuffer.wrap(bytes, from, to - from));
        try {
            for (byte[] m = framer.next(); m != null; m = framer.next()) {
                if (byClient) {
                    asked(nanos, m);
                } else {
                    answered(nanos, m);
                }
            }
        } catch (ProtocolException e) {
            losses.add(DropCounters.Reason.NO_MESSAGE, 1);
            lost(byClient);
        }
    }

    final void lost(boolean byClient) {
        askedOver |= byClient;
        answeredOver |= !byClient;
        if (!byClient) {
            // Which answer belongs to which request can't be told any more.
            giveUp();
        }
    }

    /** Nothing more comes: what is open has no answer. */
    final void end() {
        if (!answeredOver) {
            ending();
        }
        giveUp();
        askedOver = true;
        answeredOver = true;
    }

    /** Tells what has its answer though the connection ended with it. */
    protected void ending() {}

    private void giveUp() {
        for (Open each : open) {
            tell(each, 0, RecordedExchange.Result.NONE, 0, 0);
        }
        open.clear();
    }

    protected final void opened(Open request) {
        if (open.size() >= MOST_OPEN) {
            tell(open.poll(), 0, RecordedExchange.Result.NONE, 0, 0);
        }
        open.add(request);
    }

    /** The open request of this number, which is taken out, or null. */
    protected final Open take(int number) {
        for (Iterator<Open> each = open.iterator(); each.hasNext(); ) {
            Open request = each.next();
            if (request.number == number) {
                each.remove();
                return request;
            }
        }
        return null;
    }

    protected final void tell(
            Open request, long answeredAt, RecordedExchange.Result result, long comeBack, long digest) {
        if (request.values == null) {
            return;
        }
        Map<String, String> v = request.values;
        out.accept(new RecordedExchange(
                connection,
                request.nanos,
                answeredAt,
                v.getOrDefault("id", ""),
                v.getOrDefault("c", ""),
                (int) number(v.get("cluster"), 0),
                request.session,
                request.write,
                "1".equals(v.get("r")),
                request.deadline,
                number(v.get("after"), -1),
                result,
                comeBack,
                digest,
                request.message));
    }

    protected static long number(String text, long otherwise) {
        return text != null && NUMBER.matcher(text).matches() ? Long.parseLong(text) : otherwise;
    }

    /** Names and values of a comment; empty where it holds something else. */
    protected static Map<String, String> comment(String text) {
        Map<String, String> values = new HashMap<>();
        for (String part : text.strip().split(",")) {
            int equals = part.indexOf('=');
            if (equals < 1) {
                return Map.of();
            }
            values.put(
                    part.substring(0, equals).strip(),
                    part.substring(equals + 1).strip());
        }
        return values;
    }

    /** FNV-1a over 64 bits: the same for the same bytes in any run. */
    protected static long digest(long before, byte[] bytes, int from, int to) {
        long hash = before == 0 ? 0xcbf29ce484222325L : before;
        for (int i = from; i < to; i++) {
            hash = (hash ^ bytes[i] & 255) * 0x100000001b3L;
        }
        return hash;
    }
}
