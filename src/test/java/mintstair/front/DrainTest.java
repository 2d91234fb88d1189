package mintstair.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import mintstair.program.Program;
import mintstair.standin.Client;
import org.junit.jupiter.api.Test;

/** Tests a front that drains the connections of its clients. */
class DrainTest extends FrontFixture {
    /**
     * Guards against a write that is executed twice: a request that the network thread has read when its connection is
     * drained, and that the event loop has not processed yet, must not be sent to a host and then lose its connection,
     * as its client would send it again.
     */
    @Test
    void requestReadBeforeDrainIsAnswered() throws Exception {
        for (int i = 0; i < 20; i++) {
            drainWithUnprocessedRequest("w" + i);
        }
    }

    private void drainWithUnprocessedRequest(String id) throws Exception {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(Client.Pg.query(""));
            assertEquals("empty", client.answer());
            Program.await(() -> front.unprocessedBytes.get() == 0, "all input to be processed");
            CountDownLatch blocked = blockLoop();
            loop.execute(front::drain);
            client.send(true, "id=" + id + ",c=write,cluster=1", 300);
            Program.await(() -> front.unprocessedBytes.get() > 0, "the network thread to read the request");
            long accepted = counters.requestsAccepted();

            blocked.countDown();

            String answer = client.answer();
            boolean answered = counters.requestsAccepted() > accepted && !answer.equals("nothing");
            assertEquals(true, answered, "request was not accepted, or its connection was closed without a response");
        } catch (IOException e) {
            throw new AssertionError("connection was closed without a response", e);
        }
    }
}
