package mintstair.traffic;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Consumer;
import mintstair.pcap.DropCounters;
import mintstair.traffic.RecordedExchange.Result;
import mintstair.wire.Framer;
import mintstair.wire.PgFramer;

/**
 * Decodes PostgreSQL's protocol: simple queries, answered in their order. A connection without its beginning is
 * decoded from its first query on.
 */
final class PgExchangeDecoder extends ExchangeDecoder {
    /** The protocol has no request ids: responses come in the order of the requests. */
    private static final int NO_REQUEST_ID = 0;

    private static final int PROTOCOL_MAJOR = 3;
    private static final byte QUERY = 'Q';
    private static final byte DATA_ROW = 'D';
    private static final byte COMMAND_COMPLETE = 'C';
    private static final byte ERROR_RESPONSE = 'E';
    private static final byte READY_FOR_QUERY = 'Z';
    /** Type and length. */
    private static final int MESSAGE_HEADER_BYTES = 5;

    private static final byte FIELD_CODE = 'C';
    private static final byte FIELD_DETAIL = 'D';
    /** too_many_connections, cannot_connect_now. */
    private static final Set<String> REJECTION_CODES = Set.of("53300", "57P03");

    private static final String INSERT = "INSERT ";

    private boolean clientStarted;
    /** The first ReadyForQuery answers the start-up, though a query may have come with that. */
    private boolean serverStarted;

    private long lastServerNanos;
    /** What came of the response that is being read. */
    private Result result = Result.NONE;

    private long retryAfterMillis;
    private long digest;
    private int remainingValueBytes;

    PgExchangeDecoder(int connection, boolean fromStart, DropCounters drops, Consumer<RecordedExchange> output) {
        super(connection, clientFramer(fromStart), new PgFramer.HostMessageFramer(), drops, output);
        clientStarted = !fromStart;
        serverStarted = !fromStart;
    }

    private static Framer clientFramer(boolean fromStart) {
        return fromStart ? new PgFramer.ClientMessageFramer() : PgFramer.ClientMessageFramer.afterStartup();
    }

    @Override
    protected void onClientMessage(long timestampNanos, byte[] message) {
        if (!clientStarted) {
            clientStarted = ByteBuffer.wrap(message).getInt(4) >> 16 == PROTOCOL_MAJOR;
            return;
        }
        if (message[0] != QUERY) {
            return;
        }
        int queryLength = Math.max(0, message.length - MESSAGE_HEADER_BYTES - 1);
        String query = new String(message, MESSAGE_HEADER_BYTES, queryLength, StandardCharsets.ISO_8859_1);
        CommentFields comment = commentOf(query);
        addPending(new PendingRequest(
                timestampNanos,
                message,
                query.stripLeading().regionMatches(true, 0, INSERT, 0, INSERT.length()),
                firstLiteral(query),
                comment,
                comment.number(CommentFields.TIMEOUT, 0),
                NO_REQUEST_ID));
    }

    private static CommentFields commentOf(String query) {
        int start = query.lastIndexOf("/*");
        int end = query.indexOf("*/", start + 2);
        return start < 0 || end < 0 ? CommentFields.empty() : CommentFields.parse(query.substring(start + 2, end));
    }

    /** The first quoted text of a statement, which names the session; null where there is none. */
    private static String firstLiteral(String query) {
        int opening = query.indexOf('\'');
        int closing = query.indexOf('\'', opening + 1);
        return opening < 0 || closing < 0 ? null : query.substring(opening + 1, closing);
    }

    @Override
    protected void onServerMessage(long timestampNanos, byte[] message) {
        lastServerNanos = timestampNanos;
        if (remainingValueBytes > 0) {
            digest = ValueDigest.append(digest, message);
            remainingValueBytes -= message.length;
            return;
        }
        switch (message[0]) {
            case DATA_ROW -> readRow(message);
            case COMMAND_COMPLETE -> result = Result.SERVED;
            case ERROR_RESPONSE -> readError(message);
            case READY_FOR_QUERY -> finishResponse(timestampNanos);
            default -> {
                // The other messages say nothing of the result.
            }
        }
    }

    /** Of a long row this is the head, whose column begins behind the count of columns and its length. */
    private void readRow(byte[] message) {
        digest = ValueDigest.of(message, Math.min(message.length, Framer.LONG_MESSAGE_HEAD_LENGTH));
        int wholeLength = 1 + ByteBuffer.wrap(message).getInt(1);
        remainingValueBytes = Math.max(0, wholeLength - message.length);
    }

    private void readError(byte[] message) {
        result = Result.FAILED;
        int position = MESSAGE_HEADER_BYTES;
        while (position < message.length && message[position] != 0) {
            int end = position + 1;
            while (end < message.length && message[end] != 0) {
                end++;
            }
            String text = new String(message, position + 1, end - position - 1, StandardCharsets.ISO_8859_1);
            if (message[position] == FIELD_CODE && REJECTION_CODES.contains(text)) {
                result = Result.REFUSED;
            } else if (message[position] == FIELD_DETAIL) {
                retryAfterMillis = CommentFields.parseNumber(text, 0);
            }
            position = end + 1;
        }
    }

    private void finishResponse(long timestampNanos) {
        PendingRequest request = serverStarted ? removeOldestPending() : null;
        serverStarted = true;
        if (request != null) {
            long servedDigest = result == Result.SERVED ? digest : 0;
            complete(request, new ExchangeResponse(timestampNanos, result, retryAfterMillis, servedDigest));
        }
        result = Result.NONE;
        retryAfterMillis = 0;
        digest = 0;
    }

    /** After a fatal error no ReadyForQuery comes. */
    @Override
    protected void onEnd() {
        if (result != Result.REFUSED && result != Result.FAILED) {
            return;
        }
        PendingRequest request = removeOldestPending();
        if (request != null) {
            complete(request, new ExchangeResponse(lastServerNanos, result, retryAfterMillis, 0));
        }
    }
}
