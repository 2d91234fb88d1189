package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import mintstair.program.Program;
import mintstair.standin.Client;
import mintstair.standin.ManualHost;
import mintstair.wire.PgWriter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests what is learnt from replies that are forwarded in parts, as they are longer than 64 KiB. Guards against dropping
 * what the end of such a reply reports, so that a former primary is still used as the primary.
 */
class LongRepliesTest extends ServiceFixture {
    private static final String LONG_VALUE = "x".repeat(100_000);

    private ManualHost host;

    @BeforeEach
    void serveOnePrimary() throws IOException {
        host = manualHost();
        serve(true, 2, host("p", host.port(), true));
    }

    /** Sends a write that reaches the host on its next connection, the one with this number. */
    private Client.Pg sendWriteOnNewConnection(String id, int connection) throws IOException {
        Client.Pg client = client();
        client.send(true, "id=" + id + ",c=write,cluster=1", 15_000);
        host.accept();
        host.completeStartup(connection);
        assertTrue(host.readStatement(connection).contains("id=" + id + ","));
        return client;
    }

    /** Asserts that the next write is not sent, as no primary is known. */
    private void assertNoPrimaryIsKnown() throws IOException {
        long sent = service.counters.attemptsSent();
        String answer = client().ask(true, "id=next,c=write,cluster=1", 300);
        assertTrue(answer.startsWith("refused"), answer);
        assertEquals(sent, service.counters.attemptsSent());
    }

    @Test
    void formerPrimaryThatSaysSoAtTheEndOfALongReplyGetsNoMoreWrites() throws Exception {
        Client.Pg client = sendWriteOnNewConnection("a", 0);
        host.send(0, ManualHost.reply(LONG_VALUE, "copy"));
        assertEquals("served " + LONG_VALUE, client.answer());
        assertNoPrimaryIsKnown();
    }

    @ParameterizedTest
    @ValueSource(strings = {"25006", "53300", "57P03", "XX000"})
    void formerPrimaryThatSaysSoBehindAnErrorAfterALongRowGetsNoMoreWrites(String sqlState) throws Exception {
        sendWriteOnNewConnection("a", 0);
        PgWriter reply = ManualHost.row(LONG_VALUE)
                .message('E', "SERROR", "C" + sqlState, "Mfailed", "")
                .message('S', "rank", "copy")
                .ready();
        host.send(0, reply.bytes());
        awaitMetric("in_flight", 0);
        assertNoPrimaryIsKnown();
    }

    /**
     * The end of a long reply may be read long after it was sent: what it reports must not replace the newer report of
     * another connection. Guards against reads of a former primary after such an end.
     */
    @Test
    void endOfALongReplyDoesNotReplaceANewerReport() throws Exception {
        Client.Pg slow = sendWriteOnNewConnection("a", 0);
        host.send(0, ManualHost.row(LONG_VALUE).bytes());
        assertEquals('T', slow.in.read(), "the first part of the reply");
        Client.Pg quick = sendWriteOnNewConnection("b", 1);
        host.send(1, ManualHost.reply("b", "copy"));
        assertEquals("served b", quick.answer());
        host.send(
                0,
                new PgWriter()
                        .message('C', "SELECT 1")
                        .message('S', "rank", "source")
                        .ready()
                        .bytes());
        awaitMetric("in_flight", 0);
        assertNoPrimaryIsKnown();
    }

    /** The connection is closed before the end of the reply is read, so nothing is learnt from it. */
    @Test
    void clientThatLeavesDuringALongReplyChangesNothing() throws Exception {
        Client.Pg client = sendWriteOnNewConnection("a", 0);
        host.send(0, ManualHost.row(LONG_VALUE).bytes());
        assertEquals('T', client.in.read(), "the first part of the reply");
        client.close();
        awaitMetric("in_flight", 0);
        Program.await(() -> service.counters.attemptsSent() == 1, "no other attempt");
        Client.Pg next = sendWriteOnNewConnection("b", 1);
        host.send(1, ManualHost.reply("b", "source"));
        assertEquals("served b", next.answer());
    }
}
