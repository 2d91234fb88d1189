package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import mintstair.program.Program;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/** Signals that come before and after somebody takes them; by one that means nothing to the virtual machine. */
class HangUpsTest {
    private static final String HARMLESS = "URG";

    @Test
    void signalsBeforeTheTakerAreKeptAsOneAndLaterOnesComeInTurn() {
        AtomicInteger seen = new AtomicInteger();
        ReloadSignal hangUps = new ReloadSignal(HARMLESS, seen::incrementAndGet);
        Signal.raise(new Signal(HARMLESS));
        Program.await(() -> seen.get() == 1, "the first");
        Signal.raise(new Signal(HARMLESS));
        Program.await(() -> seen.get() == 2, "the second");
        AtomicInteger taken = new AtomicInteger();
        hangUps.take(taken::incrementAndGet);
        assertEquals(1, taken.get(), "at once, and once for both");
        Signal.raise(new Signal(HARMLESS));
        Program.await(() -> taken.get() == 2, "the third");
    }
}
