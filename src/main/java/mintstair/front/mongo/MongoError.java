package mintstair.front.mongo;

import org.bson.BsonDocument;
import org.bson.BsonDouble;
import org.bson.BsonInt32;
import org.bson.BsonString;

/** The errors that are sent to clients, with the codes and code names that MongoDB defines for them. */
enum MongoError {
    HOST_UNREACHABLE(6, "HostUnreachable"),
    BAD_VALUE(2, "BadValue"),
    FAILED_TO_PARSE(9, "FailedToParse"),
    CURSOR_NOT_FOUND(43, "CursorNotFound"),
    MAX_TIME_MS_EXPIRED(50, "MaxTimeMSExpired"),
    COMMAND_NOT_FOUND(59, "CommandNotFound"),
    OVERLOADED(462, "IngressRequestRateLimitExceeded");

    private final int code;
    private final String codeName;

    MongoError(int code, String codeName) {
        this.code = code;
        this.codeName = codeName;
    }

    /** Returns the reply that reports this error. */
    BsonDocument reply(String text) {
        return new BsonDocument("ok", new BsonDouble(0))
                .append("errmsg", new BsonString(text))
                .append("code", new BsonInt32(code))
                .append("codeName", new BsonString(codeName));
    }
}
