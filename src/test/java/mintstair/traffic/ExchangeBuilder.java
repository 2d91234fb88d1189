package mintstair.traffic;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import mintstair.standin.Client;
import mintstair.traffic.RecordedExchange.Result;

/** Builds recorded exchanges: by default a served read of class "any" on connection 1. */
final class ExchangeBuilder {
    private int connection = 1;
    private long requestMillis;
    private long responseMillis;
    private String requestClass = "any";
    private String session;
    private boolean write;
    private boolean retry;
    private long timeoutMillis = 2_000;
    private long minimumPositionMillis = -1;
    private Result result = Result.SERVED;
    private long retryAfterMillis;
    private long digest;
    private byte[] message = new byte[0];

    private ExchangeBuilder(long requestMillis, long responseMillis) {
        this.requestMillis = requestMillis;
        this.responseMillis = responseMillis;
    }

    /** An exchange with these times, in milliseconds. */
    static ExchangeBuilder exchange(long requestMillis, long responseMillis) {
        return new ExchangeBuilder(requestMillis, responseMillis);
    }

    /** A request at this time that was sent and has no response. */
    static ExchangeBuilder unanswered(long requestMillis) {
        return new ExchangeBuilder(requestMillis, 0).result(Result.NONE);
    }

    ExchangeBuilder connection(int number) {
        connection = number;
        return this;
    }

    ExchangeBuilder requestClass(String name) {
        requestClass = name;
        return this;
    }

    ExchangeBuilder session(String name) {
        session = name;
        return this;
    }

    ExchangeBuilder write(boolean changesData) {
        write = changesData;
        return this;
    }

    ExchangeBuilder retry() {
        retry = true;
        return this;
    }

    ExchangeBuilder timeoutMillis(long millis) {
        timeoutMillis = millis;
        return this;
    }

    ExchangeBuilder minimumPositionMillis(long millis) {
        minimumPositionMillis = millis;
        return this;
    }

    ExchangeBuilder result(Result finalResult) {
        result = finalResult;
        return this;
    }

    ExchangeBuilder retryAfterMillis(long millis) {
        retryAfterMillis = millis;
        return this;
    }

    ExchangeBuilder digest(long ofValue) {
        digest = ofValue;
        return this;
    }

    /**
     * The PostgreSQL query of a key, which is the session, too; its class in the comment is {@code commentClass}.
     */
    ExchangeBuilder query(String commentClass) {
        String statement = write
                ? "INSERT INTO entries (ref, payload) VALUES ('" + session + "', '\\x9f') RETURNING payload"
                : "SELECT payload FROM entries WHERE ref = '" + session + "'";
        String position = minimumPositionMillis < 0 ? "" : ",after=" + minimumPositionMillis;
        String comment =
                " /* id=" + id() + ",c=" + commentClass + ",d=" + timeoutMillis + ",cluster=1" + position + " */";
        message = Client.Pg.query(statement + comment);
        return this;
    }

    private String id() {
        return "old" + requestMillis;
    }

    RecordedExchange build() {
        return new RecordedExchange(
                connection,
                TimeUnit.MILLISECONDS.toNanos(requestMillis),
                TimeUnit.MILLISECONDS.toNanos(responseMillis),
                id(),
                requestClass,
                1,
                session,
                write,
                retry,
                timeoutMillis,
                minimumPositionMillis,
                result,
                retryAfterMillis,
                digest,
                message);
    }

    /** What a front of these tests gives for a key. */
    static byte[] valueOf(String key) {
        return ("value of " + key).getBytes(StandardCharsets.US_ASCII);
    }

    /** An exchange of a key, of which a result that was served has the value, and one that was refused a time. */
    static ExchangeBuilder keyed(long requestMillis, String key, Result result) {
        long responseMillis = result == Result.NONE ? 0 : requestMillis + 3;
        ExchangeBuilder exchange =
                exchange(requestMillis, responseMillis).session(key).result(result);
        if (result == Result.SERVED) {
            exchange.digest(ValueDigest.of(valueOf(key)));
        }
        if (result == Result.REFUSED) {
            exchange.retryAfterMillis(40);
        }
        return exchange;
    }
}
