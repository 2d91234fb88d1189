package mintstair.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import mintstair.program.Program;
import mintstair.standin.Client;
import org.junit.jupiter.api.Test;

/** A front that closes the connections of its clients. */
class DrainTest extends FrontFixture {
    /**
     * Guards against a write that runs twice: a request that was read, and is on its way to the loop when its
     * connection is drained, would be sent to a host and cut off without a response, and its client sends it again.
     */
    @Test
    void requestOnItsWayToTheLoopIsNotCutOff() throws Exception {
        for (int i = 0; i < 20; i++) {
            drainWithRequestOnItsWay("w" + i);
        }
    }

    private void drainWithRequestOnItsWay(String id) throws Exception {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(Client.Pg.query(""));
            assertEquals("empty", client.answer());
            Program.await(() -> front.unprocessedBytes.get() == 0, "all input to be processed");
            CountDownLatch blocked = blockLoop();
            loop.execute(front::drain);
            client.send(true, "id=" + id + ",c=write,cluster=1", 300);
            Program.await(() -> front.unprocessedBytes.get() > 0, "the network thread to have read it");
            long accepted = counters.requestsAccepted();

            blocked.countDown();

            String answer = client.answer();
            boolean answered = counters.requestsAccepted() > accepted && !answer.equals("nothing");
            assertEquals(true, answered, "accepted and cut off without a response");
        } catch (IOException e) {
            throw new AssertionError("cut off", e);
        }
    }
}
