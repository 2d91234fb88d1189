package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.standin.Client;
import mintstair.standin.LateHost;
import org.junit.jupiter.api.Test;

/** The rules that hold when an attempt is written, which may be long after the decision to send it. */
class AttemptRulesTest extends ServiceFixture {
    private static final Pattern SENT_DEADLINE = Pattern.compile("d=(\\d+)");

    /**
     * The first attempt lost its connection after it was written, and the connection for the retry comes up when the
     * deduplication window is over: the retry would run a second time. The next request is the first that comes on
     * that connection.
     */
    @Test
    void repeatThatWaitedForItsConnectionBeyondItsWindowIsNotSent() throws Exception {
        LateHost host = lateHost();
        serveKeyed(0.3, host("p", host.port(), true));
        Client.Pg client = client();
        client.send(true, "id=keyed,c=write,cluster=1", 5_000);
        host.accept();
        host.greet(0);
        assertTrue(host.statement(0).contains("id=keyed,"));
        long written = loop.now();
        host.end(0, true);
        host.accept();
        awaitTime(written + 350_000);
        host.greet(1);
        String answer = client.answer();
        assertTrue(answer.startsWith("refused") || answer.equals("failed"), answer);
        client.send(true, "id=next,c=write,cluster=1", 5_000);
        String seen = host.statement(1);
        assertTrue(seen.contains("id=next,"), seen);
    }

    /** A request is read while the loop is busy for 400 ms: the host gets the time that the client then has left. */
    @Test
    void deadlineThatIsPassedOnCountsFromWhenTheRequestWasRead() throws Exception {
        LateHost late = lateHost();
        serve(true, 1, host("p", late.port(), true));
        Client.Pg client = client();
        client.send(true, "id=warm,c=write,cluster=1", 5_000);
        late.accept();
        late.greet(0);
        late.statement(0);
        late.say(0, LateHost.answer("warm"));
        assertEquals("served warm", client.answer());
        CountDownLatch busy = new CountDownLatch(1);
        suspend(loop::execute, busy);
        long bytes = bytesRead();
        long sent = System.nanoTime();
        client.send(true, "id=late,c=write,cluster=1", 2_000);
        awaitRead(bytes);
        awaitTime(loop.now() + 400_000);
        busy.countDown();
        String statement = late.statement(0);
        long waited = (System.nanoTime() - sent) / 1_000_000;
        Matcher deadline = SENT_DEADLINE.matcher(statement);
        assertTrue(deadline.find(), statement);
        long left = 2_000 - 400;
        assertTrue(
                Long.parseLong(deadline.group(1)) <= left + 150,
                "sent " + deadline.group(1) + " ms of " + left + " left, seen after " + waited);
    }

    /** The connection comes up while the loop is busy, which it is until the request's time is over. */
    @Test
    void attemptIsNotBegunOnceItsRequestsTimeIsOver() throws Exception {
        LateHost late = lateHost();
        serve(true, 1, host("p", late.port(), true));
        Client.Pg client = client();
        client.send(true, "id=over,c=write,cluster=1", 300);
        late.accept();
        late.hear(0);
        CountDownLatch busy = new CountDownLatch(1);
        suspend(loop::execute, busy);
        long bytes = bytesRead();
        late.welcome(0);
        awaitRead(bytes);
        awaitTime(loop.now() + 400_000);
        busy.countDown();
        String answer = client.answer();
        assertTrue(answer.startsWith("refused") || answer.equals("failed"), answer);
        client.send(true, "id=next,c=write,cluster=1", 5_000);
        String seen = late.statement(0);
        assertTrue(seen.contains("id=next,"), seen);
    }
}
