package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import mintstair.standin.ListAgent;
import org.junit.jupiter.api.Test;

/** The program with the heap that the platform's command gives it, and with more hosts than any of its days. */
class ManyHostsTest {
    @Test
    void thousandHostsAsKnownAndAsListedAreTakenInAndServed() throws Exception {
        try (ListAgent agent = new ListAgent(1024, true)) {
            String list = agent.list();
            String known = list.substring(list.indexOf('[') + 1, list.lastIndexOf(']'));
            agent.tell("h1023", "DRAINING");
            try (Program program = Program.serve(agent.address().getPort(), known, false, null)) {
                program.port(0);
                program.awaitFigure("db_hosts_known=1024");
                program.awaitFigure("db_hosts_excluded=1");
                agent.tell("h1022", "DELETED");
                program.awaitFigure("db_hosts_known=1023");
                program.terminate();
                assertEquals(0, program.exit());
            }
        }
    }
}
