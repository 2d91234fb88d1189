package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.atomic.AtomicInteger;
import mintstair.control.ControlCommands;
import mintstair.program.Program;
import org.junit.jupiter.api.Test;

/** Tests when a process joins its fleet, and what it reports to its routers until then. */
class FleetParticipationTest {
    private final ControlCommands commands = new ControlCommands(() -> null);
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger postponed = new AtomicInteger();

    private FleetParticipation participation(IOException failure) {
        FleetParticipation.MembershipFactory factory = () -> {
            attempts.incrementAndGet();
            throw failure;
        };
        return new FleetParticipation(
                new GracefulShutdown(null, commands), commands, factory, postponed::incrementAndGet);
    }

    /** Guards against two processes of one proxy that use its whole part of the shared limits each. */
    @Test
    void addressThatAPredecessorHoldsIsReportedOnceAndTriedAgain() throws IOException {
        participation(new IOException("membership", new BindException("in use")))
                .join(true);
        assertEquals(1, postponed.get());
        Program.await(() -> attempts.get() >= 3, "further attempts");
        assertEquals(1, postponed.get());
    }

    @Test
    void addressInUseWithoutAPredecessorIsAnError() {
        IOException failure = new IOException("membership", new BindException("in use"));
        assertEquals(
                failure,
                assertThrows(IOException.class, () -> participation(failure).join(false)));
        assertEquals(0, postponed.get());
    }

    @Test
    void otherFailureIsAnErrorBesideAPredecessorToo() {
        IOException failure = new IOException("unknown host");
        assertEquals(
                failure,
                assertThrows(IOException.class, () -> participation(failure).join(true)));
        assertEquals(0, postponed.get());
    }
}
