package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import mintstair.program.Program;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

/** Tests signals that arrive before and after a listener is set, with a signal that has no other effect. */
class ReloadSignalTest {
    private static final String SIGNAL = "URG";

    private final AtomicInteger received = new AtomicInteger();
    private final AtomicInteger reloads = new AtomicInteger();

    private void raise(int expected) {
        Signal.raise(new Signal(SIGNAL));
        Program.await(() -> received.get() == expected, "signal " + expected);
    }

    @Test
    void signalsBeforeTheListenerIsSetCauseOneReloadAndLaterOnesOneEach() {
        ReloadSignal signal = new ReloadSignal(SIGNAL, received::incrementAndGet);
        raise(1);
        raise(2);

        signal.onReload(reloads::incrementAndGet);

        assertEquals(1, reloads.get(), "one reload for both signals");
        raise(3);
        assertEquals(2, reloads.get());
    }
}
