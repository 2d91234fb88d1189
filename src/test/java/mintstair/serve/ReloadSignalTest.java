package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import mintstair.program.Program;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/** Signals before and after a listener is set; by a signal that means nothing to the virtual machine. */
class ReloadSignalTest {
    private static final String HARMLESS = "URG";

    private final AtomicInteger received = new AtomicInteger();
    private final AtomicInteger reloads = new AtomicInteger();

    private void raise(int expected) {
        Signal.raise(new Signal(HARMLESS));
        Program.await(() -> received.get() == expected, "signal " + expected);
    }

    @Test
    void signalsBeforeTheListenerAreKeptAsOneAndLaterOnesAreHandledInTurn() {
        ReloadSignal signal = new ReloadSignal(HARMLESS, received::incrementAndGet);
        raise(1);
        raise(2);

        signal.onReload(reloads::incrementAndGet);

        assertEquals(1, reloads.get(), "at once, and once for both");
        raise(3);
        assertEquals(2, reloads.get());
    }
}
