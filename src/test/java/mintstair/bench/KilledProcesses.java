package mintstair.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import mintstair.program.Program;
import mintstair.standin.FaultRelay;

/**
 * Real processes behind the fault relay, of which one at a time is killed and started again: seconds until all others
 * know.
 */
final class KilledProcesses {
    private KilledProcesses() {}

    static List<Double> measure(int proxies, int kills) throws Exception {
        List<Double> seconds = new ArrayList<>();
        Program[] programs = new Program[proxies];
        try (FaultRelay relay = new FaultRelay(proxies)) {
            for (int i = 0; i < proxies; i++) {
                programs[i] = Program.member(relay, i, proxies);
            }
            for (int kill = 0; kill < kills; kill++) {
                for (Program program : programs) {
                    program.awaitFigure("members_alive=" + proxies);
                }
                int victim = kill % proxies;
                programs[victim].close();
                long killed = System.nanoTime();
                for (int i = 0; i < proxies; i++) {
                    if (i != victim) {
                        programs[i].awaitFigure("members_dead=1");
                    }
                }
                seconds.add((System.nanoTime() - killed) / 1e9);
                programs[victim] = Program.member(relay, victim, proxies);
            }
        } finally {
            for (Program program : programs) {
                if (program != null) {
                    program.close();
                }
            }
        }
        Collections.sort(seconds);
        return seconds;
    }
}
