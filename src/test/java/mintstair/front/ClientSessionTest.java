package mintstair.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import mintstair.program.Program;
import mintstair.standin.Client;
import mintstair.stats.MetricsSnapshot;
import mintstair.wire.PgWriter;
import org.junit.jupiter.api.Test;

/** Tests the states of a session as observed by its client; {@link SessionStateTest} covers each transition. */
class ClientSessionTest extends FrontFixture {
    private static final byte[] EMPTY_QUERY = Client.Pg.query("");
    private static final byte[] UNKNOWN_TYPE = {'?', 0, 0, 0, 4};
    private static final int END_OF_STREAM = -1;

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }

    private static byte[] writeQuery(String id) {
        return Client.Pg.query(Client.Pg.words(true, "id=" + id + ",c=write,cluster=1", 5_000));
    }

    private void awaitClosed(String reason) {
        Program.await(() -> onLoop(() -> front.clients()) == 0, "the session to be removed");
        assertEquals(1, closedSessions(reason), reason);
    }

    private long closedSessions(String reason) {
        return onLoop(() -> {
            MetricsSnapshot.Builder metrics = new MetricsSnapshot.Builder();
            counters.addTo(metrics);
            return metrics.build().value("clients_ended." + reason);
        });
    }

    @Test
    void openSessionAnswersCommandsInOrder() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(join(EMPTY_QUERY, writeQuery("w"), EMPTY_QUERY));

            assertEquals("empty", client.answer());
            awaitAttempts(1);
            replyToLastAttempt("w");
            assertEquals("served w", client.answer());
            assertEquals("empty", client.answer());
        }
        awaitClosed("left");
    }

    @Test
    void idleSessionIsClosedAtOnceWhenDrained() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            loop.execute(front::drain);

            assertEquals(END_OF_STREAM, client.in.read());
        }
        awaitClosed("drained");
    }

    @Test
    void busySessionIsClosedAfterItsResponseWhenDrained() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(writeQuery("w"));
            awaitAttempts(1);

            loop.execute(front::drain);
            replyToLastAttempt("w");

            assertEquals("served w", client.answer());
            assertEquals(END_OF_STREAM, client.in.read());
        }
        awaitClosed("drained");
    }

    @Test
    void failingSessionAnswersCommandsBeforeReportingTheError() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(join(writeQuery("w"), UNKNOWN_TYPE));
            awaitAttempts(1);
            replyToLastAttempt("w");

            assertEquals("served w", client.answer());
            assertEquals("failed", client.answer());
            assertEquals("08P01", client.code);
            assertEquals(END_OF_STREAM, client.in.read());
        }
        awaitClosed("protocol_error");
    }

    @Test
    void failingSessionStillReportsTheErrorWhenDrained() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(join(writeQuery("w"), UNKNOWN_TYPE));
            awaitAttempts(1);
            loop.execute(front::drain);
            replyToLastAttempt("w");

            assertEquals("served w", client.answer());
            assertEquals("failed", client.answer());
            assertEquals("08P01", client.code);
        }
        awaitClosed("drained");
    }

    @Test
    void drainedSessionReportsAnErrorInItsInput() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(writeQuery("w"));
            awaitAttempts(1);
            loop.execute(front::drain);
            client.raw(UNKNOWN_TYPE);
            Program.await(() -> front.unprocessedBytes.get() == 0, "the error to be processed");
            replyToLastAttempt("w");

            assertEquals("served w", client.answer());
            assertEquals("failed", client.answer());
            assertEquals("08P01", client.code);
        }
        awaitClosed("drained");
    }

    @Test
    void sessionWithUnfinishedMessageAnswersAllCommandsBeforeTheError() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            byte[] unfinished = new PgWriter().message('Q', "SELECT 1").bytes();
            client.raw(join(writeQuery("w"), EMPTY_QUERY, new byte[] {unfinished[0], 0, 0}));
            awaitAttempts(1);

            // The rest of the last message is not received within the read timeout.
            awaitReadTimeout();
            replyToLastAttempt("w");

            assertEquals("served w", client.answer());
            assertEquals("empty", client.answer());
            assertEquals("failed", client.answer());
            assertEquals("08P01", client.code);
            assertEquals(END_OF_STREAM, client.in.read());
        }
        awaitClosed("protocol_error");
        assertEquals(1, onLoop(() -> counters.malformedMessages));
    }

    @Test
    void sessionWithIncompleteMessageIsEndedWhenTheProxyShutsDown() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            // The response to the first command proves that the session has also processed the incomplete message
            // that was sent with it.
            client.raw(join(EMPTY_QUERY, new byte[] {'Q', 0, 0}));
            assertEquals("empty", client.answer());

            loop.execute(front::endUnfinished);

            assertEquals("failed", client.answer());
            assertEquals("08P01", client.code);
        }
        awaitClosed("drained");
    }

    @Test
    void lingeringSessionIsClosedIfItsClientDoesNotClose() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(UNKNOWN_TYPE);
            assertEquals("failed", client.answer());
            assertEquals(END_OF_STREAM, client.in.read());

            Program.await(() -> onLoop(() -> front.clients()) == 0, "the end of lingering");
        }
        assertEquals(1, closedSessions("protocol_error"));
    }

    @Test
    void sessionIsClosedAtOnceWhenItsClientSendsTerminate() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(new PgWriter().message('X').bytes());

            assertEquals(END_OF_STREAM, client.in.read());
        }
        awaitClosed("quit");
    }

    @Test
    void requestIsAbandonedWhenItsClientDisconnects() throws IOException {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(writeQuery("w"));
            awaitAttempts(1);
        }
        awaitClosed("left");
        assertTrue(onLoop(counters::requestsAbandoned) == 1);
    }
}
