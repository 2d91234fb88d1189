package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.standin.Client;
import mintstair.standin.ManualHost;
import org.junit.jupiter.api.Test;

/** Tests the checks that are made when an attempt is written, which may be long after the decision to send it. */
class AttemptRulesTest extends ServiceFixture {
    private static final Pattern SENT_DEADLINE = Pattern.compile("d=(\\d+)");

    /**
     * The first attempt loses its connection after it was written, and the connection for the retry is established only
     * after the deduplication window. A retry sent then would be executed a second time, so the first request on that
     * connection must be the next one.
     */
    @Test
    void retryIsNotSentIfItsConnectionIsEstablishedAfterTheDeduplicationWindow() throws Exception {
        ManualHost host = manualHost();
        serveDeduplicated(0.3, host("p", host.port(), true));
        Client.Pg client = client();
        client.send(true, "id=keyed,c=write,cluster=1", 5_000);
        host.accept();
        host.completeStartup(0);
        assertTrue(host.readStatement(0).contains("id=keyed,"));
        long writtenMicros = loop.now();
        host.closeConnection(0, true);
        host.accept();
        awaitTime(writtenMicros + 350_000);
        host.completeStartup(1);
        String answer = client.answer();
        assertTrue(answer.startsWith("refused") || answer.equals("failed"), answer);
        client.send(true, "id=next,c=write,cluster=1", 5_000);
        String statement = host.readStatement(1);
        assertTrue(statement.contains("id=next,"), statement);
    }

    /** A request is read while the loop is blocked for 400 ms; the deadline sent to the host must exclude that time. */
    @Test
    void deadlineSentToTheHostIsMeasuredFromTheReadOfTheRequest() throws Exception {
        ManualHost late = manualHost();
        serve(true, 1, host("p", late.port(), true));
        Client.Pg client = client();
        client.send(true, "id=warm,c=write,cluster=1", 5_000);
        late.accept();
        late.completeStartup(0);
        late.readStatement(0);
        late.send(0, ManualHost.reply("warm"));
        assertEquals("served warm", client.answer());
        CountDownLatch unblocked = new CountDownLatch(1);
        suspend(loop::execute, unblocked);
        long bytesBefore = bytesRead();
        long sentNanos = System.nanoTime();
        client.send(true, "id=late,c=write,cluster=1", 2_000);
        awaitBytesRead(bytesBefore);
        awaitTime(loop.now() + 400_000);
        unblocked.countDown();
        String statement = late.readStatement(0);
        long waitedMillis = (System.nanoTime() - sentNanos) / 1_000_000;
        Matcher deadline = SENT_DEADLINE.matcher(statement);
        assertTrue(deadline.find(), statement);
        long remainingMillis = 2_000 - 400;
        assertTrue(
                Long.parseLong(deadline.group(1)) <= remainingMillis + 150,
                "sent " + deadline.group(1) + " ms of " + remainingMillis + " ms left, received after " + waitedMillis
                        + " ms");
    }

    /** The connection is established while the loop is blocked, which lasts until the request's deadline has passed. */
    @Test
    void attemptIsNotWrittenAfterTheDeadlineOfItsRequest() throws Exception {
        ManualHost late = manualHost();
        serve(true, 1, host("p", late.port(), true));
        Client.Pg client = client();
        client.send(true, "id=over,c=write,cluster=1", 300);
        late.accept();
        late.readStartup(0);
        CountDownLatch unblocked = new CountDownLatch(1);
        suspend(loop::execute, unblocked);
        long bytesBefore = bytesRead();
        late.answerStartup(0);
        awaitBytesRead(bytesBefore);
        awaitTime(loop.now() + 400_000);
        unblocked.countDown();
        String answer = client.answer();
        assertTrue(answer.startsWith("refused") || answer.equals("failed"), answer);
        client.send(true, "id=next,c=write,cluster=1", 5_000);
        String statement = late.readStatement(0);
        assertTrue(statement.contains("id=next,"), statement);
    }
}
