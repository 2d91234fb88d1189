package mintstair.backend.mongo;

import java.util.Set;
import mintstair.backend.Protocol;
import mintstair.request.ConnectionEnd;
import mintstair.request.HostReply;
import mintstair.request.HostReport;
import mintstair.request.ReplicationRole;
import mintstair.wire.Framer;
import mintstair.wire.MongoFramer;
import mintstair.wire.MongoMessage;
import mintstair.wire.ProtocolException;
import org.bson.BsonDocument;
import org.bson.BsonInt32;
import org.bson.BsonString;
import org.bson.BsonValue;

/**
 * Database hosts that speak MongoDB's wire protocol. They report their role and position by the fields of hello, in any
 * reply that has them: isWritablePrimary, lastWrite.lastWriteDate and localTime. Where these are missing, operationTime
 * is a position to the second.
 */
public final class MongoProtocol implements Protocol {
    /** Errors of a host that is no primary, or in no state to read: nothing ran. */
    private static final Set<Integer> NOTHING_RAN = Set.of(10107, 13435, 13436);
    /** Errors by which a host rejects a command before it looks at it. */
    private static final Set<Integer> REJECTED = Set.of(462);
    /**
     * Errors of a host in trouble, after which the command may have run: HostUnreachable, HostNotFound,
     * MaxTimeMSExpired, NetworkTimeout, ShutdownInProgress, PrimarySteppedDown, ExceededTimeLimit, SocketException,
     * InterruptedAtShutdown, InterruptedDueToReplStateChange.
     */
    private static final Set<Integer> MAY_HAVE_RUN = Set.of(6, 7, 50, 89, 91, 189, 262, 9001, 11600, 11602);

    private static final long MICROS_PER_MILLI = 1000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    @Override
    public byte[] greeting() {
        return healthCheck();
    }

    @Override
    public byte[] healthCheck() {
        BsonDocument hello = new BsonDocument("hello", new BsonInt32(1)).append("$db", new BsonString("admin"));
        return MongoMessage.opMsg(hello, 0);
    }

    @Override
    public Framer newFramer() {
        return new MongoFramer();
    }

    @Override
    public Parser newParser() {
        return new ReplyParser();
    }

    /** A reply is one message, which names the request that it answers. */
    private static final class ReplyParser implements Parser {
        private int requestId;

        @Override
        public void requestSent(byte[] request) {
            requestId = MongoMessage.requestId(request);
        }

        @Override
        public HostReply parse(byte[] bytes) {
            MongoMessage message = MongoMessage.parse(bytes);
            if (!isExpected(message)) {
                throw new ProtocolException("not the one reply that was asked for");
            }
            BsonDocument body = message.body();
            return new HostReply(end(body), MongoMessage.encodeDocument(body), hostReport(body));
        }

        private boolean isExpected(MongoMessage message) {
            return message.opCode() == MongoMessage.OP_MSG
                    && (message.flags() & MongoMessage.MORE_TO_COME) == 0
                    && message.responseTo() == requestId
                    && message.body().isNumber("ok");
        }

        @Override
        public HostReply replyAtClose() {
            return null;
        }
    }

    @Override
    public HostReport report(byte[] body) {
        HostReport report = hostReport(MongoMessage.decodeDocument(body));
        if (report.role() == ReplicationRole.UNKNOWN) {
            throw new ProtocolException("hello does not tell the role");
        }
        return report;
    }

    /** An error that is the statement's own fault counts as served: any other host would reply the same. */
    private static ConnectionEnd end(BsonDocument body) {
        if (body.isNumber("ok") && body.getNumber("ok").doubleValue() == 1) {
            return ConnectionEnd.SERVED;
        }
        int code = body.isNumber("code") ? body.getNumber("code").intValue() : 0;
        if (NOTHING_RAN.contains(code)) {
            return ConnectionEnd.MISS;
        }
        if (REJECTED.contains(code)) {
            return ConnectionEnd.TURNED_AWAY;
        }
        return code == 0 || MAY_HAVE_RUN.contains(code) ? ConnectionEnd.HOST_ERROR : ConnectionEnd.SERVED;
    }

    private static HostReport hostReport(BsonDocument body) {
        ReplicationRole role = role(body);
        return new HostReport(role, positionMicros(body, role));
    }

    private static ReplicationRole role(BsonDocument body) {
        if (!body.isBoolean("isWritablePrimary")) {
            return ReplicationRole.UNKNOWN;
        }
        boolean primary = body.getBoolean("isWritablePrimary").getValue();
        return primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
    }

    /** A primary is at the present, whenever its last write was. */
    private static long positionMicros(BsonDocument body, ReplicationRole role) {
        if (role == ReplicationRole.PRIMARY && body.isDateTime("localTime")) {
            return body.getDateTime("localTime").getValue() * MICROS_PER_MILLI;
        }
        BsonValue lastWrite =
                body.isDocument("lastWrite") ? body.getDocument("lastWrite").get("lastWriteDate") : null;
        if (lastWrite != null && lastWrite.isDateTime()) {
            return lastWrite.asDateTime().getValue() * MICROS_PER_MILLI;
        }
        if (body.isTimestamp("operationTime")) {
            return body.getTimestamp("operationTime").getTime() * MICROS_PER_SECOND;
        }
        return HostReport.UNKNOWN_POSITION;
    }
}
