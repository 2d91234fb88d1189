package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A new configuration may go out while a proxy is being restarted. The virtual machine installs its own handler of
 * SIGHUP before the program's first line, and that handler ends the process: SIGHUP 50 ms after the start ended it with
 * status 129, one at 100 ms or later was taken. Where the starter ignores the signal the virtual machine refuses every
 * handler for it, as it finds it ignored when it is asked; then the process lived, and never took a new configuration.
 *
 * <p>The process is started by the deploy file's own line, as what stands before {@code java} there decides.
 */
class StartSignalsTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;

    private PgHost primary;
    private Discovery discovery;
    private String known;

    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, AHEAD);
        known = primary.listed("SERVING");
        discovery = new Discovery(known);
    }

    @AfterEach
    void stop() throws IOException {
        discovery.close();
        primary.close();
    }

    private String config(String className) {
        return Program.config(discovery.port(), known, true)
                .replace("\"name\":\"any\"", "\"name\":\"" + className + "\"");
    }

    /** Signals come one after the other from the virtual machine's first moment until clients are served. */
    private void survivesSignalsUntilItServes(Program program) throws Exception {
        Program.await(
                () -> !program.process.isAlive() || DeployFile.isVirtualMachine(program.process),
                "the virtual machine");
        int sent = 0;
        while (program.process.isAlive() && program.lines("serving on ").isEmpty()) {
            program.signal("HUP");
            sent++;
        }
        assertTrue(program.process.isAlive(), () -> "ended with status " + program.process.exitValue());
        assertTrue(sent > 10, sent + " signals");
        try (Client.Pg client = new Client.Pg(program.port(0))) {
            assertEquals("served first", client.ask(false, "id=first,c=any,cluster=1", 4_000));
            program.reload(config("fresh-one"));
            Program.await(
                    () -> program.lines("configuration read anew: ").size() > 0
                            && "served new".equals(ask(client, "id=new,c=fresh-one,cluster=1")),
                    "the settings of the file");
        }
        program.end();
        assertEquals(0, program.exit());
    }

    private static String ask(Client.Pg client, String words) {
        try {
            return client.ask(false, words, 4_000);
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Test
    void reloadBeforeTheProgramHasBegun() throws Exception {
        try (Program program = Program.deployed(config("any"), false)) {
            survivesSignalsUntilItServes(program);
        }
    }

    /** As under {@code nohup}. */
    @Test
    void reloadBeforeTheProgramHasBegunWhereTheStarterIgnoresTheSignal() throws Exception {
        try (Program program = Program.deployed(config("any"), true)) {
            survivesSignalsUntilItServes(program);
        }
    }
}
