package mintstair.front.mongo;

import java.util.HashMap;
import java.util.Map;
import mintstair.front.ClientSession;
import mintstair.front.RequestRules;
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

/** One client that speaks MongoDB's wire protocol. */
final class MongoSession extends ClientSession {
    /** What hosts tell the proxy in a reply, and no client is to act on. */
    private static final String[] NOTES = {
        "isWritablePrimary", "lastWrite", "localTime", "operationTime", "$clusterTime"
    };

    /** An error with its code and the code's name, as MongoDB's list of errors has them. */
    private enum Fault {
        HOST_UNREACHABLE(6, "HostUnreachable"),
        BAD_VALUE(2, "BadValue"),
        FAILED_TO_PARSE(9, "FailedToParse"),
        ILLEGAL_OPERATION(20, "IllegalOperation"),
        CURSOR_NOT_FOUND(43, "CursorNotFound"),
        MAX_TIME_MS_EXPIRED(50, "MaxTimeMSExpired"),
        COMMAND_NOT_FOUND(59, "CommandNotFound"),
        OVERLOADED(462, "IngressRequestRateLimitExceeded");

        final int code;
        final String codeName;

        Fault(int code, String codeName) {
            this.code = code;
            this.codeName = codeName;
        }

        BsonDocument reply(String text) {
            return new BsonDocument("ok", new BsonDouble(0))
                    .append("errmsg", new BsonString(text))
                    .append("code", new BsonInt32(code))
                    .append("codeName", new BsonString(codeName));
        }
    }

    private final MongoFront front;
    private final int number;

    MongoSession(MongoFront front, Connection<?> connection, int number) {
        super(front, connection, new MongoFramer());
        this.front = front;
        this.number = number;
    }

    @Override
    protected byte[] lastWords(String error) {
        return MongoMessage.opMsg(Fault.FAILED_TO_PARSE.reply(error), 0);
    }

    @Override
    protected byte[] noRoomWords() {
        return null;
    }

    @Override
    protected void command(byte[] bytes) {
        MongoMessage m = MongoMessage.parse(bytes);
        String name = m.body().getFirstKey();
        if (m.opCode() == MongoMessage.OP_QUERY && !name.equalsIgnoreCase("isMaster") && !name.equals("hello")) {
            throw new ProtocolException("OP_QUERY is served for hello alone");
        }
        try {
            command(m, name);
        } catch (ProtocolException e) {
            front.malformed();
            reply(m, Fault.BAD_VALUE.reply(e.getMessage()));
        }
    }

    private void command(MongoMessage m, String name) {
        BsonDocument c = m.body();
        switch (name) {
            case "hello", "isMaster", "ismaster" -> write(words(m, hello(name)));
            case "ping", "endSessions" -> reply(m, ok());
            case "buildInfo", "buildinfo" ->
                reply(
                        m,
                        ok().append("version", new BsonString("7.0.0"))
                                .append("versionArray", array(7, 0, 0, 0))
                                .append("maxBsonObjectSize", new BsonInt32(longest())));
            case "serverStatus" -> reply(m, ok().append("mintstair", counters()));
            case "find" -> find(m, c);
            case "getMore" -> getMore(m, c);
            case "killCursors" -> killCursors(m, c);
            case "insert", "update", "delete" -> {
                checkPlain(c, name);
                ProxyRequest request = request(c, true);
                submit(
                        request,
                        answer -> reply(
                                m, answer instanceof Response.Served a ? served(a) : unserved(answer, request, true)));
            }
            default -> {
                front.malformed();
                reply(m, Fault.COMMAND_NOT_FOUND.reply("no such command: '" + name + "'"));
            }
        }
    }

    private BsonDocument counters() {
        BsonDocument counters = new BsonDocument();
        for (String part : front.counters().split(" ")) {
            String[] pair = part.split("=");
            counters.append(pair[0], new BsonInt64(Long.parseLong(pair[1])));
        }
        return counters.append("open_cursors", new BsonInt64(front.cursors().size()));
    }

    private BsonDocument hello(String name) {
        BsonDocument hello = new BsonDocument(name.equals("hello") ? "isWritablePrimary" : "ismaster", BsonBoolean.TRUE)
                .append("helloOk", BsonBoolean.TRUE)
                .append("msg", new BsonString("isdbgrid"))
                .append("maxBsonObjectSize", new BsonInt32(longest()))
                .append("maxMessageSizeBytes", new BsonInt32(MongoFramer.LONGEST))
                .append("maxWriteBatchSize", new BsonInt32(1000))
                .append("localTime", new BsonDateTime(front.now() / 1000))
                .append("connectionId", new BsonInt32(number))
                .append("minWireVersion", new BsonInt32(0))
                .append("maxWireVersion", new BsonInt32(21))
                .append("readOnly", BsonBoolean.FALSE);
        hello.putAll(ok());
        return hello;
    }

    private static int longest() {
        return MongoFramer.LONGEST - 16 * 1024;
    }

    private void find(MongoMessage m, BsonDocument c) {
        checkPlain(c, "find");
        if (c.containsKey("tailable")) {
            throw new ProtocolException("tailable cursors are not served");
        }
        ProxyRequest request = request(c, false);
        submit(request, answer -> {
            if (!(answer instanceof Response.Served a)) {
                reply(m, unserved(answer, request, false));
                return;
            }
            BsonDocument body = served(a);
            long hostId = cursorId(body);
            if (hostId != 0) {
                Cursors.Cursor opened = front.cursors()
                        .open(
                                a.host(),
                                hostId,
                                c.getString("$db").getValue(),
                                c.getString("find").getValue(),
                                request,
                                front.now());
                body.getDocument("cursor").put("id", new BsonInt64(opened.id()));
            }
            reply(m, body);
        });
    }

    /** Reads on where the cursor is, or nowhere: its host must still be recent enough for the class. */
    private void getMore(MongoMessage m, BsonDocument c) {
        if (!c.isNumber("getMore")) {
            throw new ProtocolException("getMore needs the id of a cursor");
        }
        long id = c.getNumber("getMore").longValue();
        Cursors.Cursor cursor = front.cursors().find(id);
        if (cursor == null) {
            reply(m, Fault.CURSOR_NOT_FOUND.reply("cursor id " + id + " not found"));
            return;
        }
        BsonDocument words = c.clone();
        words.put("getMore", new BsonInt64(cursor.hostId()));
        ProxyRequest next = goOn(cursor, c, new MongoStatement(words));
        front.cursors().take(id);
        submit(next, answer -> {
            if (!(answer instanceof Response.Served a)) {
                // Stale, gone, or read on without an answer: there is no next batch to be had from it.
                front.free(cursor);
                reply(m, Fault.CURSOR_NOT_FOUND.reply("cursor id " + id + " is no longer recent enough or in reach"));
                return;
            }
            BsonDocument body = served(a);
            if (cursorId(body) != 0) {
                front.cursors().keep(cursor, front.now());
                body.getDocument("cursor").put("id", new BsonInt64(id));
            }
            reply(m, body);
        });
    }

    /** A getMore is of the class of its find, and sees at least what that had to see. */
    private ProxyRequest goOn(Cursors.Cursor cursor, BsonDocument c, MongoStatement statement) {
        ProxyRequest opened = cursor.opened();
        Map<String, String> values = c.containsKey("comment") ? comment(c) : new HashMap<>();
        values.putIfAbsent("id", opened.id());
        values.put("c", opened.requestClass());
        values.put("cluster", Integer.toString(opened.cluster()));
        ProxyRequest r = front.rules().request(values, maxTime(c), false, opened.session(), statement);
        return new ProxyRequest(
                r.id(),
                r.requestClass(),
                r.cluster(),
                r.session(),
                r.clientRetry(),
                r.timeoutMicros(),
                Math.max(r.minimumPositionMicros(), opened.minimumPositionMicros()),
                statement,
                cursor.host());
    }

    private void killCursors(MongoMessage m, BsonDocument c) {
        if (!c.isArray("cursors")) {
            throw new ProtocolException("killCursors needs its cursors");
        }
        BsonArray killed = new BsonArray();
        BsonArray notFound = new BsonArray();
        for (BsonValue id : c.getArray("cursors")) {
            boolean known = id.isNumber() && front.cursors().kill(id.asNumber().longValue());
            (known ? killed : notFound).add(id);
        }
        BsonDocument reply = new BsonDocument("cursorsKilled", killed)
                .append("cursorsNotFound", notFound)
                .append("cursorsAlive", new BsonArray())
                .append("cursorsUnknown", new BsonArray());
        reply.putAll(ok());
        reply(m, reply);
    }

    /** What a proxy that sends each command by itself cannot keep, it does not take. */
    private static void checkPlain(BsonDocument c, String name) {
        if (!c.isString(name) || !c.isString("$db")) {
            throw new ProtocolException(name + " needs its collection and $db");
        }
        if (c.containsKey("txnNumber") || c.containsKey("startTransaction") || c.containsKey("autocommit")) {
            throw new ProtocolException("transactions and retryable writes are not served");
        }
    }

    private ProxyRequest request(BsonDocument c, boolean writes) {
        if (!c.containsKey("comment")) {
            throw new ProtocolException("the comment with id, c and cluster is missing");
        }
        Map<String, String> values = comment(c);
        return front.rules().request(values, maxTime(c), writes, values.get("session"), new MongoStatement(c));
    }

    private static String maxTime(BsonDocument c) {
        return c.isNumber("maxTimeMS") && c.getNumber("maxTimeMS").longValue() != 0
                ? Long.toString(c.getNumber("maxTimeMS").longValue())
                : null;
    }

    /** A comment is a text as in SQL, or a document of the same names. */
    private static Map<String, String> comment(BsonDocument c) {
        if (c.isString("comment")) {
            return RequestRules.comment(c.getString("comment").getValue());
        }
        if (!c.isDocument("comment")) {
            throw new ProtocolException("the comment must be a text or a document");
        }
        Map<String, String> values = new HashMap<>();
        c.getDocument("comment")
                .forEach((name, value) -> values.put(
                        name,
                        value.isString()
                                ? value.asString().getValue()
                                : value.isNumber()
                                        ? Long.toString(value.asNumber().longValue())
                                        : value.isDateTime()
                                                ? Long.toString(
                                                        value.asDateTime().getValue())
                                                : value.isBoolean()
                                                        ? value.asBoolean().getValue() ? "1" : "0"
                                                        : ""));
        return values;
    }

    private static BsonDocument served(Response.Served answer) {
        BsonDocument body = MongoMessage.document(answer.body());
        for (String note : NOTES) {
            body.remove(note);
        }
        return body;
    }

    private static long cursorId(BsonDocument body) {
        return body.isDocument("cursor") && body.getDocument("cursor").isNumber("id")
                ? body.getDocument("cursor").getNumber("id").longValue()
                : 0;
    }

    /** Refusals carry the labels by which drivers know that a retry does no harm; failures carry none. */
    private BsonDocument unserved(Response answer, ProxyRequest request, boolean write) {
        if (answer instanceof Response.Rejected a) {
            BsonArray labels = new BsonArray();
            labels.add(new BsonString("SystemOverloadedError"));
            labels.add(new BsonString("RetryableError"));
            if (write) {
                labels.add(new BsonString("RetryableWriteError"));
            }
            BsonDocument reply =
                    Fault.OVERLOADED.reply("no room now, try again").append("errorLabels", labels);
            return a.retryAfterMillis() > 0 ? reply.append("retryAfterMS", new BsonInt64(a.retryAfterMillis())) : reply;
        }
        Response.Failed a = (Response.Failed) answer;
        return (a.late() ? Fault.MAX_TIME_MS_EXPIRED : Fault.HOST_UNREACHABLE)
                .reply("request " + request.id() + ": " + a.reason());
    }

    private static BsonDocument ok() {
        return new BsonDocument("ok", new BsonDouble(1));
    }

    private static BsonArray array(int... numbers) {
        BsonArray array = new BsonArray();
        for (int n : numbers) {
            array.add(new BsonInt32(n));
        }
        return array;
    }

    private static byte[] words(MongoMessage to, BsonDocument body) {
        return to.opCode() == MongoMessage.OP_QUERY
                ? MongoMessage.opReply(body, to.requestId())
                : MongoMessage.opMsg(body, to.requestId());
    }

    private void reply(MongoMessage to, BsonDocument body) {
        // An unacknowledged write: its client reads no reply to it.
        if ((to.flags() & MongoMessage.MORE_TO_COME) == 0 || to.opCode() == MongoMessage.OP_QUERY) {
            write(words(to, body));
        }
    }
}
