package mintstair.adapter;

import java.io.IOException;

/** Runs the {@code adapter} command. */
public final class Adapter {
    private Adapter() {}

    /**
     * Serves the simulator on standard input and output until the input ends.
     *
     * @throws IllegalArgumentException if the input violates the simulator's protocol
     */
    public static void run() throws IOException {
        new SimulatorSession(System.in, System.out).run();
    }
}
