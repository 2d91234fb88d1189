package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import mintstair.standin.TcpRelay;
import org.junit.jupiter.api.Test;

/**
 * A process that has no more descriptors than its configuration tells, all that clients may have held by clients who
 * rest.
 */
class DescriptorsTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    private static final int SOCKETS = 160;

    /** While discovery is down, and when it is back: it is reached, so are hosts, signals and control calls. */
    @Test
    void idleClientsKeepNeitherDiscoveryNorHostsNorControlOut() throws Exception {
        PgHost primary = new PgHost("p", true, AHEAD);
        PgHost late = new PgHost("l", false, AHEAD);
        List<Client> idle = new ArrayList<>();
        try (Discovery discovery = new Discovery(primary.listed("SERVING"));
                TcpRelay way = new TcpRelay(discovery.port());
                Program program = Program.limited(
                        SOCKETS,
                        Program.config(way.port(), primary.listed("SERVING"), true)
                                .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS))) {
            int port = program.port(0);
            Program.await(() -> discovery.queries.size() > 1, "a watch");
            way.setRefusing(true);
            // More than there are descriptors; each rests once it has been heard, those that find no room are told or
            // closed.
            for (int i = 0; i < SOCKETS + 40; i++) {
                idle.add(rests(port));
            }
            program.reload(Program.config(way.port(), primary.listed("SERVING"), true)
                    .replace("\"maxAttempts\":8", "\"maxAttempts\":5"));
            program.awaitFigure("reloads_ok=1");
            discovery.publish(primary.listed("SERVING") + "," + late.listed("SERVING"));
            way.setRefusing(false);
            program.awaitFigure("db_hosts_known=2");
            assertEquals("served w", asks(port, "w", true));
            for (int i = 0; i < 40 && late.requestIds.isEmpty(); i++) {
                assertTrue(asks(port, "r" + i, false).startsWith("served"));
            }
            assertTrue(!late.requestIds.isEmpty(), "the host listed last is reached");
            program.end();
            assertTrue(program.lines("unexpected").isEmpty(), program.printed.toString());
        } finally {
            for (Client client : idle) {
                client.close();
            }
            primary.close();
            late.close();
        }
    }

    private static Client rests(int port) throws IOException {
        Client.Pg client = new Client.Pg(port, true);
        try {
            client.raw(Client.Pg.startup());
            client.raw(Client.Pg.query(""));
            client.answer();
        } catch (IOException e) {
            // There was no room, and it was closed while its words were on the way.
        }
        return client;
    }

    /** A client that comes again until there is room for it, as those at a front layer do. */
    private static String asks(int port, String id, boolean write) {
        String[] answer = {"nothing"};
        Program.await(
                () -> {
                    try (Client.Pg client = new Client.Pg(port, true)) {
                        client.raw(Client.Pg.startup());
                        answer[0] = client.answer();
                        answer[0] =
                                client.ask(write, "id=" + id + ",c=" + (write ? "write" : "any") + ",cluster=1", 4_000);
                    } catch (IOException e) {
                        answer[0] = "closed";
                    }
                    return answer[0].startsWith("served");
                },
                "an answer to " + id);
        return answer[0];
    }
}
