package mintstair.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.wire.MongoMessage;
import org.bson.BsonArray;
import org.bson.BsonBoolean;
import org.bson.BsonDateTime;
import org.bson.BsonDocument;
import org.bson.BsonInt32;
import org.bson.BsonInt64;
import org.bson.BsonString;
import org.bson.BsonTimestamp;

/** A database host that speaks the MongoDB protocol; a find whose id begins with "cursor" leaves a cursor open. */
public final class MongoHost extends StandInHost {
    public final Set<Long> cursors = Collections.synchronizedSet(new HashSet<>());
    public final List<BsonDocument> commands = Collections.synchronizedList(new ArrayList<>());
    /**
     * Whether replies report what MongoDB documents: role, lastWrite and localTime in the reply to hello alone, and
     * operationTime, a timestamp of whole seconds and a count, in every reply. Otherwise all replies are like hello's.
     */
    public volatile boolean reportsAsDocumented;

    private final AtomicInteger increment = new AtomicInteger();

    public MongoHost(String name, boolean primary, long positionMillis) throws IOException {
        super(name, primary, positionMillis);
    }

    @Override
    protected void serve(DataInputStream in, OutputStream out) throws IOException {
        for (MongoMessage request = read(in); request != null; request = read(in)) {
            BsonDocument command = request.body();
            BsonDocument reply = reply(command);
            if (reply == null) {
                return;
            }
            if (!reply.isEmpty()) {
                report(reply, command.containsKey("hello"));
                out.write(MongoMessage.opMsg(reply, request.requestId()));
            }
        }
    }

    private void report(BsonDocument reply, boolean isHello) {
        if (isHello || !reportsAsDocumented) {
            long localTime = reportsAsDocumented ? System.currentTimeMillis() : positionMillis;
            reply.append("isWritablePrimary", BsonBoolean.valueOf(primary))
                    .append("lastWrite", new BsonDocument("lastWriteDate", new BsonDateTime(positionMillis)))
                    .append("localTime", new BsonDateTime(localTime));
        }
        if (reportsAsDocumented) {
            int second = (int) (positionMillis / 1000);
            reply.append("operationTime", new BsonTimestamp(second, increment.incrementAndGet()));
        }
    }

    /** Reads one message; returns null at the end of the stream. */
    static MongoMessage read(DataInputStream in) throws IOException {
        byte[] head = in.readNBytes(4);
        if (head.length < 4) {
            return null;
        }
        int length = Integer.reverseBytes(ByteBuffer.wrap(head).getInt());
        ByteBuffer whole = ByteBuffer.allocate(length).put(head).put(in.readNBytes(length - 4));
        return MongoMessage.parse(whole.array());
    }

    private BsonDocument reply(BsonDocument c) {
        commands.add(c);
        BsonDocument ok = new BsonDocument("ok", new BsonInt32(1));
        if (c.containsKey("hello")) {
            return ok;
        }
        if (c.containsKey("killCursors")) {
            c.getArray("cursors").forEach(id -> cursors.remove(id.asInt64().getValue()));
            return ok;
        }
        String id = repliesWithKey
                ? "value of " + c.getString("comment").getValue().replaceAll(".*session=([^,]*).*", "$1")
                : id(c);
        switch (requestReceived(id)) {
            case BREAK:
                return null;
            case SILENT:
                return new BsonDocument();
            case MISS:
                return error(10107);
            case ERROR:
                return error(11600);
            case FULL:
                return error(462);
            default:
                break;
        }
        if (!c.containsKey("find") && !c.containsKey("getMore")) {
            return ok.append("n", new BsonInt32(1)).append("id", new BsonString(id));
        }
        long cursor = 0;
        if (c.containsKey("find") && id.startsWith("cursor")) {
            cursor = 1000L + cursors.size();
            cursors.add(cursor);
        }
        BsonArray batch = new BsonArray(List.of(new BsonDocument("id", new BsonString(id))));
        return ok.append(
                "cursor",
                new BsonDocument("id", new BsonInt64(cursor))
                        .append("ns", new BsonString("orders.e"))
                        .append(c.containsKey("find") ? "firstBatch" : "nextBatch", batch));
    }

    private static String id(BsonDocument c) {
        if (c.isDocument("comment")) {
            return c.getDocument("comment").getString("id").getValue();
        }
        return c.isString("comment") ? c.getString("comment").getValue().replaceAll(".*id=([^,]*).*", "$1") : "";
    }

    private static BsonDocument error(int code) {
        return new BsonDocument("ok", new BsonInt32(0))
                .append("code", new BsonInt32(code))
                .append("errmsg", new BsonString("requested by the test"));
    }
}
