package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.FaultShim;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost.HostBehavior;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The wall clock of the machine is stepped while the program runs: deadlines, retries and the end are spans of real
 * time.
 */
class SteppedClockTest {
    private static final int DEADLINE_MILLIS = 1_000;
    /** What a busy machine may add: far less than the steps, and than what the hosts take without an end. */
    private static final long MOST_MILLIS = DEADLINE_MILLIS + 2_000;

    private PgHost primary;
    private PgHost replica;
    private Discovery discovery;
    private FaultShim shim;
    private Program program;

    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, System.currentTimeMillis() + 3_600_000);
        replica = new PgHost("r", false, primary.positionMillis);
        String known = primary.listed("SERVING") + "," + replica.listed("SERVING");
        discovery = new Discovery(known);
        shim = new FaultShim();
        program = Program.shimmed(shim, Program.config(discovery.port(), known, false));
    }

    @AfterEach
    void stop() throws IOException {
        program.close();
        discovery.close();
        primary.close();
        replica.close();
    }

    /** What a request comes to that no host answers, and after how many milliseconds. */
    private void endsInTime(String id) throws IOException {
        primary.behaviors.put(id, HostBehavior.SILENT);
        replica.behaviors.put(id, HostBehavior.SILENT);
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            long sent = System.nanoTime();
            String answer = client.ask(false, "id=" + id + ",c=any,cluster=1", DEADLINE_MILLIS);
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent);
            assertNotEquals("nothing", answer);
            assertTrue(took <= MOST_MILLIS, id + " took " + took + " ms");
        }
    }

    private void serves(String id) throws IOException {
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            assertEquals("served " + id, client.ask(false, "id=" + id + ",c=any,cluster=1", 5_000));
        }
    }

    @Test
    void requestEndsByItsDeadlineAfterTheClockWasSetBack() throws Exception {
        serves("before");
        shim.shiftWallClock(Duration.ofHours(-1));
        endsInTime("back");
        serves("after");
        program.end();
        assertTrue(
                program.lines("counters: ").get(0).contains(" overdue=0 "),
                "deadlines are the module's, not the guard's");
    }

    @Test
    void requestIsServedAndEndsInTimeAfterTheClockWasSetForwardAndBack() throws Exception {
        serves("before");
        shim.shiftWallClock(Duration.ofHours(2));
        serves("forward");
        endsInTime("ahead");
        shim.shiftWallClock(Duration.ofHours(-1));
        endsInTime("back");
        serves("after");
        program.end();
    }

    /** Ends in order within what SIGKILL leaves, though its clock is set back while it ends. */
    @Test
    void terminationIsNotHeldUpByAClockThatIsSetBack() throws Exception {
        primary.behaviors.put("held", HostBehavior.SILENT);
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            client.send(true, "id=held,c=write,cluster=1", 5_000);
            Program.await(() -> primary.requestIds.contains("held"), "the request at its host");
            program.terminate();
            Program.await(() -> !program.lines("ending: ").isEmpty(), "the end to begin");
            shim.shiftWallClock(Duration.ofHours(-1));
            long stepped = System.nanoTime();
            assertEquals("failed", client.answer());
            assertEquals(0, program.exit());
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stepped);
            assertTrue(took < 3_700 + 2_000, "ended after " + took + " ms");
        }
    }
}
