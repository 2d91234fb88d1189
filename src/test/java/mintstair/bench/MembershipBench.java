package mintstair.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mintstair.membership.SimulatedFleet;
import mintstair.membership.swim.SwimSettings;

/**
 * The membership of proxies in virtual time: load of a member, time to detect, false deaths, healing; beside plain
 * SWIM (suspicions of one fixed length, no own health) with the same seeds. MetricsSnapshot last; status 1 where an
 * aim is missed.
 */
public final class MembershipBench {
    private static final long S = 1_000_000;
    private static boolean missed;

    private MembershipBench() {}

    public static void main(String[] args) throws Exception {
        boolean full = Arrays.asList(args).contains("--full");
        int[] sizes = full ? new int[] {50, 200, 500, 1000} : new int[] {50, 200};
        double[] loads = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            loads[i] = load(sizes[i], 0.05);
            figure("messages_per_member_per_s_" + sizes[i], loads[i]);
        }
        aim("messages_per_member_per_s", loads[loads.length - 1] < 1.1 * loads[0]);
        figure("messages_per_member_per_s_200_each_polls_all", 2 * 199 / 0.4);

        detect(9, full ? 1000 : 300, false, 3);
        detect(100, full ? 200 : 25, false, 4);
        detect(100, full ? 100 : 12, true, 40);
        if (full) {
            detect(1000, 5, false, 6);
        }
        for (int loss : full ? new int[] {0, 5, 10, 20} : new int[] {5, 20}) {
            double[] ours = falseDeaths(SwimSettings.forLocalNetwork(100), loss / 100.0, full ? 400 : 60);
            double[] plain = falseDeaths(plain(100), loss / 100.0, full ? 400 : 60);
            figure("suspicions_per_10000_periods_loss_" + loss, ours[0]);
            figure("false_deaths_per_10000_periods_loss_" + loss, ours[1]);
            figure("false_deaths_per_10000_periods_loss_" + loss + "_plain_swim", plain[1]);
            if (loss == 5) {
                aim("false_deaths_per_10000_periods_loss_5", ours[1] < 1);
            }
        }
        double[] stalls = stalls(SwimSettings.forLocalNetwork(50), full ? 20 : 4);
        double[] stallsPlain = stalls(plain(50), full ? 20 : 4);
        figure("false_deaths_stalls_12s", stalls[0]);
        figure("false_deaths_stalls_12s_plain_swim", stallsPlain[0]);
        List<Double> killed = KilledProcesses.measure(9, full ? 40 : 6);
        figure("real_9_killed_known_to_all_s_p50", killed.get(killed.size() / 2));
        figure("real_9_killed_known_to_all_s_max", killed.get(killed.size() - 1));
        aim("real_9_killed_known_to_all_s_max", killed.get(killed.size() - 1) < 3);
        double healed = heal(full ? 200 : 50);
        figure("healed_after_cut_s", healed);
        aim("healed_after_cut_s", healed >= 0 && healed < 20);
        System.exit(missed ? 1 : 0);
    }

    /** Suspicions of the shortest length, which nothing shortens or lengthens; the same address checks. */
    private static SwimSettings plain(int told) {
        SwimSettings u = SwimSettings.forLocalNetwork(told);
        return new SwimSettings(
                u.periodMicros(),
                u.ackTimeoutMicros(),
                u.indirectProbes(),
                3,
                u.processGonePeriods(),
                1,
                0,
                u.retransmitFactor(),
                1,
                u.syncIntervalMicros(),
                u.retentionMicros(),
                u.maxMembers(),
                told);
    }

    private static SimulatedFleet agreed(int size, SwimSettings settings, double loss, long seed, boolean connections) {
        SimulatedFleet play = new SimulatedFleet(size, settings, loss, seed);
        play.connectionsEnabled = connections;
        play.startAll();
        play.awaitConvergence(60 * S);
        return play;
    }

    private static double load(int size, double loss) {
        SimulatedFleet play = agreed(size, SwimSettings.forLocalNetwork(size), loss, 1, true);
        long before = play.nodes.stream().mapToLong(n -> n.sentMessages).sum();
        play.advance(10 * S);
        return (play.nodes.stream().mapToLong(n -> n.sentMessages).sum() - before) / 10.0 / size;
    }

    /**
     * Until the first suspects a member that fails, and until all know that it is dead; the aim is for the 99th of
     * 100.
     */
    private static void detect(int size, int times, boolean machine, double aim) {
        List<Double> all = new ArrayList<>();
        List<Double> first = new ArrayList<>();
        SimulatedFleet play = null;
        for (int i = 0; i < times; i++) {
            // One fleet loses a tenth of its members at most: what it has learned of one must not speed up the next.
            play = play == null || i % Math.max(1, size / 10) == 0
                    ? agreed(size, SwimSettings.forLocalNetwork(size), 0.05, i, true)
                    : play;
            SimulatedFleet.Node victim = play.nodes.get(size - 1 - i % Math.max(1, size / 10));
            play.advance(5 * S + i * 77_773L % 400_000);
            play.deaths.remove(victim.index);
            play.suspicions.remove(victim.index);
            long begun = play.nowMicros;
            if (machine) {
                play.failMachine(victim);
            } else {
                play.kill(victim);
            }
            int others = play.running().size();
            while (play.nowMicros - begun < 100 * S
                    && play.deaths.getOrDefault(victim.index, Map.of()).size() < others) {
                play.advance(20_000);
            }
            all.add((play.nowMicros - begun) / 1e6);
            first.add((Collections.min(play.suspicions.get(victim.index).values()) - begun) / 1e6);
        }
        Collections.sort(all);
        String name = (machine ? "lost_machine" : "killed_process") + "_known_to_all_s_" + size;
        figure(
                "first_suspicion_periods_" + (machine ? "lost_" : "killed_") + size,
                first.stream().mapToDouble(Double::doubleValue).average().orElse(0) / 0.4);
        figure(name + "_p50", all.get(all.size() / 2));
        figure(name + "_p99", all.get((all.size() - 1) * 99 / 100));
        aim(name + "_p99", all.get((all.size() - 1) * 99 / 100) < aim);
    }

    /**
     * Suspicions and deaths of members that run, of 10,000 periods of a member; datagrams alone, no connections to
     * check by.
     */
    private static double[] falseDeaths(SwimSettings settings, double loss, int seconds) {
        SimulatedFleet play = agreed(100, settings, loss, 3, false);
        play.falseDeaths = 0;
        play.falseSuspicions = 0;
        play.advance(seconds * S);
        double periods = 100 * seconds / 0.4 / 10_000;
        return new double[] {play.falseSuspicions / periods, play.falseDeaths / periods};
    }

    /** Deaths declared of members that only stood still for 12 s, or by them: five of fifty at a time. */
    private static double[] stalls(SwimSettings settings, int rounds) {
        SimulatedFleet play = agreed(50, settings, 0.01, 5, true);
        play.falseDeaths = 0;
        for (int i = 0; i < rounds; i++) {
            for (int n = 0; n < 5; n++) {
                play.stall(play.nodes.get((i * 5 + n) % 50), play.nowMicros + 12 * S);
            }
            play.advance(40 * S);
        }
        return new double[] {play.falseDeaths};
    }

    private static double heal(int size) {
        SimulatedFleet play = agreed(size, SwimSettings.forLocalNetwork(size), 0.01, 9, true);
        play.network = SimulatedFleet.partitioned(0.01, size * 2 / 5);
        play.advance(120 * S);
        play.network = SimulatedFleet.lossy(0.01);
        return play.awaitConvergence(60 * S) / 1e6;
    }

    private static void figure(String name, double value) {
        System.out.println(name + "=" + String.format(Locale.ROOT, "%.2f", value));
    }

    private static void aim(String name, boolean met) {
        if (!met) {
            missed = true;
            System.out.println("missed: " + name);
        }
    }
}
