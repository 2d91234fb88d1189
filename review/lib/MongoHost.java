import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.bson.BsonArray;
import org.bson.BsonBoolean;
import org.bson.BsonDateTime;
import org.bson.BsonDocument;
import org.bson.BsonDouble;
import org.bson.BsonInt32;
import org.bson.BsonInt64;
import org.bson.BsonString;
import org.bson.BsonTimestamp;

/**
 * A db host that speaks MongoDB's wire protocol. As MongoDB documents it, only the reply to hello has
 * isWritablePrimary, lastWrite and localTime; every reply has operationTime, a timestamp of whole seconds and a count.
 */
public class MongoHost {
    private static final int NOT_WRITABLE_PRIMARY = 10107;

    private final Rig rig;
    public final String name;
    public final boolean primary;
    public final Log log;
    private final Position position;
    private final AtomicInteger counter = new AtomicInteger();
    private final ServerSocket server;
    /** Until when it answers nothing, by {@link Rig#millis}: its process hangs. */
    public volatile long hangsUntilMillis;

    /** Up to when a host has applied the log, in Unix milliseconds. */
    public interface Position {
        long at(long nowMillis);
    }

    /** The log of a group: what was written to each key, and when it was committed. */
    public static final class Log {
        private record Entry(String key, long value, long committedMillis) {}

        private final List<Entry> entries = new java.util.ArrayList<>();

        synchronized long commit(String key, long value) {
            long now = System.currentTimeMillis();
            entries.add(new Entry(key, value, now));
            return now;
        }

        /** When the newest write up to this moment was committed; 0 if there is none. */
        synchronized long lastWrite(long upToMillis) {
            for (int i = entries.size() - 1; i >= 0; i--) {
                if (entries.get(i).committedMillis <= upToMillis) {
                    return entries.get(i).committedMillis;
                }
            }
            return 0;
        }

        /** The newest value of the key that was committed up to this moment; 0 if there is none. */
        synchronized long value(String key, long upToMillis) {
            for (int i = entries.size() - 1; i >= 0; i--) {
                Entry entry = entries.get(i);
                if (entry.key.equals(key) && entry.committedMillis <= upToMillis) {
                    return entry.value;
                }
            }
            return 0;
        }
    }

    public MongoHost(Rig rig, String name, boolean primary, Log log, Position position) throws IOException {
        this.rig = rig;
        this.name = name;
        this.primary = primary;
        this.log = log;
        this.position = position;
        server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        Rig.daemon(this::accept);
    }

    /** This host as discovery lists it, in group 1. */
    public final String listed(String state) {
        return "{\"uid\":\"" + name + "\",\"endpoint\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"az\":\"here\",\"model\":\"toy\",\"pod_group\":1,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\"" + (primary ? "source" : "copy") + "\"}";
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Rig.daemon(() -> {
                    try (socket) {
                        DataInputStream in = new DataInputStream(socket.getInputStream());
                        OutputStream out = socket.getOutputStream();
                        for (Mongo.Message m = Mongo.read(in); m != null; m = Mongo.read(in)) {
                            while (Rig.millis() < hangsUntilMillis) {
                                Rig.sleep(5);
                            }
                            out.write(Mongo.message(reply(m.body()), m.id()));
                        }
                    } catch (IOException e) {
                        // The proxy went away.
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    private BsonDocument reply(BsonDocument command) {
        long now = System.currentTimeMillis();
        long applied = primary ? now : position.at(now);
        long written = log.lastWrite(applied);
        if (command.containsKey("hello")) {
            return new BsonDocument("isWritablePrimary", BsonBoolean.valueOf(primary))
                    .append("secondary", BsonBoolean.valueOf(!primary))
                    .append("lastWrite", new BsonDocument("lastWriteDate", new BsonDateTime(written)))
                    .append("localTime", new BsonDateTime(now))
                    .append("maxWireVersion", new BsonInt32(21))
                    .append("operationTime", operationTime(written))
                    .append("ok", new BsonDouble(1));
        }
        String comment = command.containsKey("comment") ? command.getString("comment").getValue() : "";
        if (command.containsKey("insert")) {
            if (!primary) {
                rig.note(name + " turns away " + comment);
                return new BsonDocument("ok", new BsonDouble(0))
                        .append("errmsg", new BsonString("not primary"))
                        .append("code", new BsonInt32(NOT_WRITABLE_PRIMARY))
                        .append("codeName", new BsonString("NotWritablePrimary"))
                        .append("operationTime", operationTime(written));
            }
            BsonDocument document = command.getArray("documents").get(0).asDocument();
            String key = document.getString("ref").getValue();
            long value = document.getInt64("v").getValue();
            long committed = log.commit(key, value);
            rig.note(name + " commits " + key + " = " + value + " at " + committed + " for " + comment);
            return new BsonDocument("n", new BsonInt32(1))
                    .append("ok", new BsonDouble(1))
                    .append("operationTime", operationTime(committed));
        }
        String key = command.getDocument("filter").getString("ref").getValue();
        long value = log.value(key, applied);
        rig.note(name + " reads " + key + " = " + value + " with the log up to " + applied + " (" + (now - applied)
                + " ms behind) for " + comment);
        BsonArray batch = new BsonArray(List.of(
                new BsonDocument("ref", new BsonString(key)).append("v", new BsonInt64(value))));
        return new BsonDocument(
                        "cursor",
                        new BsonDocument("id", new BsonInt64(0))
                                .append("ns", new BsonString("orders.entries"))
                                .append("firstBatch", batch))
                .append("ok", new BsonDouble(1))
                .append("operationTime", operationTime(written));
    }

    private BsonTimestamp operationTime(long millis) {
        return new BsonTimestamp((int) (millis / 1000), counter.incrementAndGet());
    }
}
