package mintstair.adapter;

import java.io.IOException;

/** Hosts many instances of the module on the simulator's wire, on standard input and output. */
public final class Adapter {
    private Adapter() {}

    /** Reads batches from standard input until it ends. */
    public static void run() throws IOException {
        new Wire(System.in, System.out).run();
    }
}
