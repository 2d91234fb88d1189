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
 * Db hosts that speak MongoDB's wire protocol. What PostgreSQL hosts tell by parameters is told here by the
 * fields of hello, in any reply that holds them: isWritablePrimary, lastWrite.lastWriteDate and localTime;
 * where they are missing, operationTime is a position to the second.
 */
public final class MongoProtocol implements Protocol {
    /** Errors of a host that is no primary, or in no state to read: nothing ran. */
    private static final Set<Integer> NOTHING_RAN = Set.of(10107, 13435, 13436);
    /** Errors by which a host turns a command away unseen. */
    private static final Set<Integer> UNSEEN = Set.of(462);
    /** Errors of a host in trouble, after which the command may have run: HostUnreachable, HostNotFound,
     * MaxTimeMSExpired, NetworkTimeout, ShutdownInProgress, PrimarySteppedDown, ExceededTimeLimit,
     * SocketException, InterruptedAtShutdown, InterruptedDueToReplStateChange. */
    private static final Set<Integer> MAY_HAVE_RUN = Set.of(6, 7, 50, 89, 91, 189, 262, 9001, 11600, 11602);

    @Override
    public byte[] greeting() {
        return probe();
    }

    @Override
    public byte[] probe() {
        return MongoMessage.opMsg(
                new BsonDocument("hello", new BsonInt32(1)).append("$db", new BsonString("admin")), 0);
    }

    @Override
    public Framer newFramer() {
        return new MongoFramer();
    }

    @Override
    public Parser newParser() {
        return new Parser() {
            private int asked;

            @Override
            public void asked(byte[] words) {
                asked = MongoMessage.requestId(words);
            }

            @Override
            public HostReply take(byte[] message) {
                MongoMessage m = MongoMessage.parse(message);
                if (m.opCode() != MongoMessage.OP_MSG
                        || (m.flags() & MongoMessage.MORE_TO_COME) != 0
                        || m.responseTo() != asked
                        || !m.body().isNumber("ok")) {
                    throw new ProtocolException("not the one reply that was asked for");
                }
                return new HostReply(end(m.body()), MongoMessage.bytes(m.body()), note(m.body()));
            }

            @Override
            public HostReply atEnd() {
                return null;
            }
        };
    }

    @Override
    public HostReport report(byte[] body) {
        HostReport report = note(MongoMessage.document(body));
        if (report.role() == ReplicationRole.UNKNOWN) {
            throw new ProtocolException("hello does not tell the role");
        }
        return report;
    }

    /** An error that is the statement's own fault is the host's answer: no other host would give a better. */
    private static ConnectionEnd end(BsonDocument body) {
        if (body.isNumber("ok") && body.getNumber("ok").doubleValue() == 1) {
            return ConnectionEnd.SERVED;
        }
        int code = body.isNumber("code") ? body.getNumber("code").intValue() : 0;
        return NOTHING_RAN.contains(code)
                ? ConnectionEnd.MISS
                : UNSEEN.contains(code)
                        ? ConnectionEnd.TURNED_AWAY
                        : code == 0 || MAY_HAVE_RUN.contains(code) ? ConnectionEnd.HOST_ERROR : ConnectionEnd.SERVED;
    }

    private static HostReport note(BsonDocument body) {
        ReplicationRole role = ReplicationRole.UNKNOWN;
        if (body.isBoolean("isWritablePrimary")) {
            boolean primary = body.getBoolean("isWritablePrimary").getValue();
            role = primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
        }
        BsonValue lastWrite =
                body.isDocument("lastWrite") ? body.getDocument("lastWrite").get("lastWriteDate") : null;
        long position = HostReport.UNKNOWN;
        if (role == ReplicationRole.PRIMARY && body.isDateTime("localTime")) {
            position = body.getDateTime("localTime").getValue() * 1000;
        } else if (lastWrite != null && lastWrite.isDateTime()) {
            position = lastWrite.asDateTime().getValue() * 1000;
        } else if (body.isTimestamp("operationTime")) {
            position = body.getTimestamp("operationTime").getTime() * 1_000_000L;
        }
        return new HostReport(role, position);
    }
}
