package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import mintstair.standin.TcpRelay;
import org.junit.jupiter.api.Test;

/**
 * Several processes of the program, each with a fault of its own between it and the list, as a host is told to leave.
 */
class LeaversProgramTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    /**
     * Reset, silent on what is open, refused, silent: told at once or after 6 s, the last two from the return of
     * their agents on.
     */
    private static final long[] LIMITS = {1_000, 7_000, 1_000, 1_000};

    @Test
    void leaverGetsNothingNewFromAnyProcessWhateverBecameOfItsWatch() throws Exception {
        PgHost primary = new PgHost("p", true, AHEAD);
        PgHost stays = new PgHost("s", false, AHEAD);
        PgHost leaver = new PgHost("l", false, AHEAD);
        AtomicLongArray last = new AtomicLongArray(LIMITS.length);
        String before = String.join(",", primary.listed("SERVING"), stays.listed("SERVING"), leaver.listed("SERVING"));
        List<AutoCloseable> open = new ArrayList<>(List.of(primary, stays, leaver));
        try (Discovery discovery = new Discovery(before)) {
            List<TcpRelay> ways = new ArrayList<>();
            List<Program> programs = new ArrayList<>();
            for (int i = 0; i < LIMITS.length; i++) {
                ways.add(new TcpRelay(discovery.port()));
                programs.add(Program.serve(ways.get(i).port(), before, true, null));
            }
            open.addAll(ways);
            open.addAll(programs);
            List<Client> clients = new ArrayList<>();
            for (Program program : programs) {
                clients.add(new Client.Pg(program.port(0)));
            }
            open.addAll(clients);
            ask(clients, "first");
            ways.get(0).closeAll();
            ways.get(1).muteOpenConnections();
            ways.get(2).setRefusing(true);
            ways.get(3).setSilent(true);
            leaver.observer = line -> last.set(Character.digit(line.charAt(1), 10), System.nanoTime());
            discovery.publish(
                    String.join(",", primary.listed("SERVING"), stays.listed("SERVING"), leaver.listed("DRAINING")));
            long told = System.nanoTime();
            askUntilTheyKnow(programs.subList(0, 2), clients);
            ways.get(2).setRefusing(false);
            ways.get(3).setSilent(false);
            long back = System.nanoTime();
            askUntilTheyKnow(programs, clients);
            int seen = leaver.requestIds.size();
            for (int n = 0; n < 10; n++) {
                ask(clients, "after" + n);
            }
            assertEquals(seen, leaver.requestIds.size());
            for (int i = 0; i < LIMITS.length; i++) {
                long late = (last.get(i) - (i < 2 ? told : back)) / 1_000_000;
                assertTrue(late < LIMITS[i], "process " + i + ": " + late + " ms");
            }
        } finally {
            for (AutoCloseable each : open) {
                each.close();
            }
        }
    }

    private static void askUntilTheyKnow(List<Program> programs, List<Client> clients) throws IOException {
        long begun = System.nanoTime();
        for (int n = 0; !programs.stream().allMatch(LeaversProgramTest::knows); n++) {
            assertTrue(System.nanoTime() - begun < 30_000_000_000L, "they know");
            ask(clients, "round" + begun + "x" + n);
        }
    }

    private static boolean knows(Program program) {
        try {
            return List.of(program.call("telemetry\n").split("\n")).contains("svc.db_hosts_excluded=1");
        } catch (IOException e) {
            return false;
        }
    }

    private static void ask(List<Client> clients, String name) throws IOException {
        for (int i = 0; i < clients.size(); i++) {
            String id = "c" + i + name;
            assertEquals("served " + id, clients.get(i).ask(false, "id=" + id + ",c=any,cluster=1", 4000));
        }
    }
}
