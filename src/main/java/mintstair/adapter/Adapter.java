package mintstair.adapter;

import java.io.IOException;

/** The {@code adapter} command. */
public final class Adapter {
    private Adapter() {}

    /** Serves the simulator on standard input and output until the input ends. */
    public static void run() throws IOException {
        new SimulatorSession(System.in, System.out).run();
    }
}
