package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import mintstair.standin.Discovery;
import org.junit.jupiter.api.Test;

/** The program with the heap that the platform's command gives it, and with more hosts than any of its days. */
class ManyHostsTest {
    @Test
    void thousandHostsAsKnownAndAsListedAreTakenInAndServed() throws Exception {
        try (Discovery discovery = new Discovery(Discovery.hosts(1024, "h1023=DRAINING"));
                Program program = Program.serve(discovery.port(), Discovery.hosts(1024), false, null)) {
            program.port(0);
            program.awaitFigure("db_hosts_known=1024");
            program.awaitFigure("db_hosts_excluded=1");
            discovery.publish(Discovery.hosts(1023));
            program.awaitFigure("db_hosts_known=1023");
            program.terminate();
            assertEquals(0, program.exit());
        }
    }
}
