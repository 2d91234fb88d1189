package mintstair.front.mongo;

import java.util.HashMap;
import java.util.Map;
import mintstair.front.ClientSession;
import mintstair.request.ProxyRequest;
import mintstair.request.Response;
import mintstair.wire.MongoFramer;
import mintstair.wire.MongoMessage;
import mintstair.wire.ProtocolException;
import org.bson.BsonArray;
import org.bson.BsonBoolean;
import org.bson.BsonDateTime;
import org.bson.BsonDocument;
import org.bson.BsonDouble;
import org.bson.BsonInt32;
import org.bson.BsonInt64;
import org.bson.BsonString;
import org.bson.BsonValue;
import org.glassfish.grizzly.Connection;

/** The session of one client that uses the MongoDB wire protocol. */
final class MongoSession extends ClientSession {
    /** The fields of a reply that describe the host; they are removed, as clients must not act on them. */
    private static final String[] HOST_REPORT_FIELDS = {
        "isWritablePrimary", "lastWrite", "localTime", "operationTime", "$clusterTime"
    };

    private static final String SERVER_VERSION = "7.0.0";
    private static final int MAX_WRITE_BATCH = 1000;
    private static final int MAX_WIRE_VERSION = 21;
    /** Bytes that a message may contain besides its document. */
    private static final int MESSAGE_OVERHEAD = 16 * 1024;

    private static final int MAX_DOCUMENT_LENGTH = MongoFramer.MAX_MESSAGE_LENGTH - MESSAGE_OVERHEAD;
    private static final int MICROS_PER_MILLI = 1000;

    private final MongoFront front;
    private final int connectionId;

    MongoSession(MongoFront front, Connection<?> connection, int connectionId) {
        super(front, connection, new MongoFramer());
        this.front = front;
        this.connectionId = connectionId;
    }

    @Override
    protected byte[] protocolErrorMessage(String error) {
        return MongoMessage.opMsg(MongoError.FAILED_TO_PARSE.reply(error), 0);
    }

    @Override
    protected byte[] tooManyClientsMessage() {
        return null;
    }

    @Override
    protected void runCommand(byte[] bytes) {
        MongoMessage message = MongoMessage.parse(bytes);
        String name = message.body().getFirstKey();
        boolean handshake = name.equalsIgnoreCase("isMaster") || name.equals("hello");
        if (message.opCode() == MongoMessage.OP_QUERY && !handshake) {
            throw new ProtocolException("OP_QUERY is served for hello alone");
        }
        try {
            dispatch(message, name, bytes.length);
        } catch (ProtocolException e) {
            front.countMalformed();
            reply(message, MongoError.BAD_VALUE.reply(e.getMessage()));
        }
    }

    private void dispatch(MongoMessage message, String name, int length) {
        switch (name) {
            // The handshake is answered regardless of the flags of the message.
            case "hello", "isMaster", "ismaster" -> write(encode(message, hello(name)));
            case "ping", "endSessions" -> reply(message, ok());
            case "buildInfo", "buildinfo" -> reply(message, buildInfo());
            case "serverStatus" -> reply(message, ok().append("mintstair", counters()));
            case "find" -> find(message, length);
            case "getMore" -> getMore(message, length);
            case "killCursors" -> killCursors(message);
            case "insert", "update", "delete" -> submitWrite(message, name, length);
            default -> {
                front.countMalformed();
                reply(message, MongoError.COMMAND_NOT_FOUND.reply("no such command: '" + name + "'"));
            }
        }
    }

    private static BsonDocument buildInfo() {
        return ok().append("version", new BsonString(SERVER_VERSION))
                .append("versionArray", versionArray())
                .append("maxBsonObjectSize", new BsonInt32(MAX_DOCUMENT_LENGTH));
    }

    private static BsonArray versionArray() {
        BsonArray version = new BsonArray();
        for (int number : new int[] {7, 0, 0, 0}) {
            version.add(new BsonInt32(number));
        }
        return version;
    }

    private BsonDocument counters() {
        BsonDocument counters = CounterDocument.parse(front.counters());
        return counters.append("open_cursors", new BsonInt64(front.cursors().size()));
    }

    private BsonDocument hello(String name) {
        BsonDocument hello = new BsonDocument(name.equals("hello") ? "isWritablePrimary" : "ismaster", BsonBoolean.TRUE)
                .append("helloOk", BsonBoolean.TRUE)
                .append("msg", new BsonString("isdbgrid"))
                .append("maxBsonObjectSize", new BsonInt32(MAX_DOCUMENT_LENGTH))
                .append("maxMessageSizeBytes", new BsonInt32(MongoFramer.MAX_MESSAGE_LENGTH))
                .append("maxWriteBatchSize", new BsonInt32(MAX_WRITE_BATCH))
                .append("localTime", new BsonDateTime(front.nowMicros() / MICROS_PER_MILLI))
                .append("connectionId", new BsonInt32(connectionId))
                .append("minWireVersion", new BsonInt32(0))
                .append("maxWireVersion", new BsonInt32(MAX_WIRE_VERSION))
                .append("readOnly", BsonBoolean.FALSE);
        hello.putAll(ok());
        return hello;
    }

    /** Returns the heap that a request in flight takes: its command, and the message to a host. */
    private static long heapBytes(MongoMessage message, int length) {
        return BsonHeapSize.of(message.body()) + length;
    }

    private void submitWrite(MongoMessage message, String name, int length) {
        RequestFields.checkSingleCommand(message.body(), name);
        ProxyRequest request = createRequest(message.body(), true);
        MongoMessage header = message.withoutBody();
        submit(request, heapBytes(message, length), response -> {
            if (response instanceof Response.Served served) {
                reply(header, servedBody(served));
            } else {
                reply(header, errorBody(response, request, true));
            }
        });
    }

    private void find(MongoMessage message, int length) {
        BsonDocument command = message.body();
        RequestFields.checkSingleCommand(command, "find");
        if (command.containsKey("tailable")) {
            throw new ProtocolException("tailable cursors are not served");
        }
        ProxyRequest request = createRequest(command, false);
        MongoMessage header = message.withoutBody();
        BsonDocument namespace = RequestFields.namespace(command);
        submit(request, heapBytes(message, length), response -> {
            if (response instanceof Response.Served served) {
                reply(header, firstBatch(namespace, request, served));
            } else {
                reply(header, errorBody(response, request, false));
            }
        });
    }

    /** Returns the reply to a find; the id of its cursor is replaced by one that the proxy assigns. */
    private BsonDocument firstBatch(BsonDocument namespace, ProxyRequest request, Response.Served served) {
        BsonDocument body = servedBody(served);
        long hostId = cursorId(body);
        if (hostId != 0) {
            String database = namespace.getString("$db").getValue();
            String collection = namespace.getString("find").getValue();
            Cursors.Cursor cursor =
                    front.cursors().register(served.host(), hostId, database, collection, request, front.nowMicros());
            setCursorId(body, cursor.id());
        }
        return body;
    }

    /** Continues a cursor on its host, which must still satisfy the consistency of the class of its find. */
    private void getMore(MongoMessage message, int length) {
        BsonDocument command = message.body();
        if (!command.isNumber("getMore")) {
            throw new ProtocolException("getMore needs the id of a cursor");
        }
        long id = command.getNumber("getMore").longValue();
        Cursors.Cursor cursor = front.cursors().find(id);
        if (cursor == null) {
            reply(message, MongoError.CURSOR_NOT_FOUND.reply("cursor id " + id + " not found"));
            return;
        }
        ProxyRequest request = getMoreRequest(cursor, command);
        front.cursors().checkOut(id);
        MongoMessage header = message.withoutBody();
        submit(request, heapBytes(message, length), response -> {
            if (response instanceof Response.Served served) {
                reply(header, nextBatch(cursor, served));
                return;
            }
            // The host is stale or unreachable, or may have advanced the cursor: no next batch can be read from it.
            front.killOnHost(cursor);
            String error = "cursor id " + id + " is no longer recent enough or in reach";
            reply(header, MongoError.CURSOR_NOT_FOUND.reply(error));
        });
    }

    private BsonDocument nextBatch(Cursors.Cursor cursor, Response.Served served) {
        BsonDocument body = servedBody(served);
        if (cursorId(body) != 0) {
            front.cursors().checkIn(cursor, front.nowMicros());
            setCursorId(body, cursor.id());
        }
        return body;
    }

    /** Returns the request of a getMore, with the class and at least the minimum replication position of its find. */
    private ProxyRequest getMoreRequest(Cursors.Cursor cursor, BsonDocument command) {
        BsonDocument hostCommand = command.clone();
        hostCommand.put("getMore", new BsonInt64(cursor.hostId()));
        MongoStatement statement = new MongoStatement(hostCommand);
        ProxyRequest openingRequest = cursor.openingRequest();
        Map<String, String> values = command.containsKey("comment") ? RequestFields.comment(command) : new HashMap<>();
        values.putIfAbsent("id", openingRequest.id());
        values.put("c", openingRequest.requestClass());
        values.put("cluster", Integer.toString(openingRequest.cluster()));
        ProxyRequest request = front.rules()
                .createRequest(
                        values, RequestFields.maxTimeMillis(command), false, openingRequest.session(), statement);
        return new ProxyRequest(
                request.id(),
                request.requestClass(),
                request.cluster(),
                request.session(),
                request.isClientRetry(),
                request.timeoutMicros(),
                Math.max(request.minimumPositionMicros(), openingRequest.minimumPositionMicros()),
                statement,
                cursor.host());
    }

    private void killCursors(MongoMessage message) {
        BsonDocument command = message.body();
        if (!command.isArray("cursors")) {
            throw new ProtocolException("killCursors needs its cursors");
        }
        BsonArray killed = new BsonArray();
        BsonArray notFound = new BsonArray();
        for (BsonValue id : command.getArray("cursors")) {
            boolean isKilled =
                    id.isNumber() && front.cursors().kill(id.asNumber().longValue());
            (isKilled ? killed : notFound).add(id);
        }
        BsonDocument reply = new BsonDocument("cursorsKilled", killed)
                .append("cursorsNotFound", notFound)
                .append("cursorsAlive", new BsonArray())
                .append("cursorsUnknown", new BsonArray());
        reply.putAll(ok());
        reply(message, reply);
    }

    private ProxyRequest createRequest(BsonDocument command, boolean writes) {
        if (!command.containsKey("comment")) {
            throw new ProtocolException("the comment with id, c and cluster is missing");
        }
        Map<String, String> values = RequestFields.comment(command);
        String maxTimeMillis = RequestFields.maxTimeMillis(command);
        return front.rules()
                .createRequest(values, maxTimeMillis, writes, values.get("session"), new MongoStatement(command));
    }

    private static BsonDocument servedBody(Response.Served served) {
        BsonDocument body = MongoMessage.decodeDocument(served.body());
        for (String field : HOST_REPORT_FIELDS) {
            body.remove(field);
        }
        return body;
    }

    private static long cursorId(BsonDocument body) {
        return body.isDocument("cursor") && body.getDocument("cursor").isNumber("id")
                ? body.getDocument("cursor").getNumber("id").longValue()
                : 0;
    }

    private static void setCursorId(BsonDocument body, long id) {
        body.getDocument("cursor").put("id", new BsonInt64(id));
    }

    /** Returns the error reply; a rejection has the labels that tell drivers to retry safely, a failure has none. */
    private static BsonDocument errorBody(Response response, ProxyRequest request, boolean write) {
        if (response instanceof Response.Rejected rejected) {
            BsonDocument body =
                    MongoError.OVERLOADED.reply("no room now, try again").append("errorLabels", retryLabels(write));
            return rejected.retryAfterMillis() > 0
                    ? body.append("retryAfterMS", new BsonInt64(rejected.retryAfterMillis()))
                    : body;
        }
        Response.Failed failed = (Response.Failed) response;
        MongoError error = failed.late() ? MongoError.MAX_TIME_MS_EXPIRED : MongoError.HOST_UNREACHABLE;
        return error.reply("request " + request.id() + ": " + failed.reason());
    }

    private static BsonArray retryLabels(boolean write) {
        BsonArray labels = new BsonArray();
        labels.add(new BsonString("SystemOverloadedError"));
        labels.add(new BsonString("RetryableError"));
        if (write) {
            labels.add(new BsonString("RetryableWriteError"));
        }
        return labels;
    }

    private static BsonDocument ok() {
        return new BsonDocument("ok", new BsonDouble(1));
    }

    private static byte[] encode(MongoMessage request, BsonDocument body) {
        return request.opCode() == MongoMessage.OP_QUERY
                ? MongoMessage.opReply(body, request.requestId())
                : MongoMessage.opMsg(body, request.requestId());
    }

    private void reply(MongoMessage request, BsonDocument body) {
        // An unacknowledged write gets no reply.
        boolean wantsReply = (request.flags() & MongoMessage.MORE_TO_COME) == 0;
        if (wantsReply || request.opCode() == MongoMessage.OP_QUERY) {
            write(encode(request, body));
        }
    }
}
