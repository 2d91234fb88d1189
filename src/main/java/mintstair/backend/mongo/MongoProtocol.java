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
 * The protocol of MongoDB hosts. A host reports its role and position in the fields of hello, in any reply that
 * contains them: isWritablePrimary, localTime of a primary and lastWrite.lastWriteDate of a replica. If the role or
 * lastWriteDate is missing, operationTime gives the position with a resolution of one second. The increment of
 * operationTime is not used: nothing in a reply shows that the increments of two hosts can be compared.
 */
public final class MongoProtocol implements Protocol {
    /** Error codes of a host that is not the primary, or cannot serve reads now; the command was not executed. */
    private static final Set<Integer> NOT_EXECUTED_CODES = Set.of(10107, 13435, 13436);
    /** Error codes with which a host rejects a command before processing it. */
    private static final Set<Integer> REJECTED_CODES = Set.of(462);
    /**
     * Error codes of a failing host, after which the command may have been executed: HostUnreachable, HostNotFound,
     * MaxTimeMSExpired, NetworkTimeout, ShutdownInProgress, PrimarySteppedDown, ExceededTimeLimit, SocketException,
     * InterruptedAtShutdown, InterruptedDueToReplStateChange.
     */
    private static final Set<Integer> POSSIBLY_EXECUTED_CODES = Set.of(6, 7, 50, 89, 91, 189, 262, 9001, 11600, 11602);

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

    /** Parses replies, each of which is one message with the id of the request that it answers. */
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
                throw new ProtocolException("expected an OP_MSG reply to request " + requestId);
            }
            BsonDocument body = message.body();
            return new HostReply(connectionEnd(body), MongoMessage.encodeDocument(body), hostReport(body));
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
    public HostReport decodeReport(byte[] body) {
        HostReport report = hostReport(MongoMessage.decodeDocument(body));
        if (report.role() == ReplicationRole.UNKNOWN) {
            throw new ProtocolException("the reply to hello does not contain the replication role");
        }
        return report;
    }

    /** Classifies a reply. An error caused by the statement itself counts as served, as any host would return it. */
    private static ConnectionEnd connectionEnd(BsonDocument body) {
        if (body.isNumber("ok") && body.getNumber("ok").doubleValue() == 1) {
            return ConnectionEnd.SERVED;
        }
        int code = body.isNumber("code") ? body.getNumber("code").intValue() : 0;
        if (NOT_EXECUTED_CODES.contains(code)) {
            return ConnectionEnd.MISS;
        }
        if (REJECTED_CODES.contains(code)) {
            return ConnectionEnd.TURNED_AWAY;
        }
        return code == 0 || POSSIBLY_EXECUTED_CODES.contains(code) ? ConnectionEnd.HOST_ERROR : ConnectionEnd.SERVED;
    }

    private static HostReport hostReport(BsonDocument body) {
        ReplicationRole role = role(body);
        return new HostReport(role, appliedPosition(body, role), commitPosition(body));
    }

    private static ReplicationRole role(BsonDocument body) {
        if (!body.isBoolean("isWritablePrimary")) {
            return ReplicationRole.UNKNOWN;
        }
        boolean primary = body.getBoolean("isWritablePrimary").getValue();
        return primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
    }

    /**
     * Returns a time up to which the host has applied all commits. That of a primary is its current time, no matter
     * when it executed its last write; if it does not report its time, its position is unknown.
     */
    private static long appliedPosition(BsonDocument body, ReplicationRole role) {
        if (role == ReplicationRole.PRIMARY) {
            return body.isDateTime("localTime")
                    ? body.getDateTime("localTime").getValue() * MICROS_PER_MILLI
                    : HostReport.UNKNOWN_POSITION;
        }
        BsonValue lastWrite =
                body.isDocument("lastWrite") ? body.getDocument("lastWrite").get("lastWriteDate") : null;
        if (lastWrite != null && lastWrite.isDateTime()) {
            return lastWrite.asDateTime().getValue() * MICROS_PER_MILLI;
        }
        return body.isTimestamp("operationTime") ? operationSecond(body) : HostReport.UNKNOWN_POSITION;
    }

    /**
     * Returns the end of the second in which the last operation before this reply was committed: that of the write, if
     * the reply answers one.
     */
    private static long commitPosition(BsonDocument body) {
        return body.isTimestamp("operationTime")
                ? operationSecond(body) + MICROS_PER_SECOND - 1
                : HostReport.UNKNOWN_POSITION;
    }

    /** Returns the start of the second of operationTime; the seconds of a timestamp are an unsigned number. */
    private static long operationSecond(BsonDocument body) {
        int seconds = body.getTimestamp("operationTime").getTime();
        return Integer.toUnsignedLong(seconds) * MICROS_PER_SECOND;
    }
}
