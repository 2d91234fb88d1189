package mintstair.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * What a break of the registry costs: time until the running program's view matches again, bytes beside a client that
 * rereads everything, calls when many lose the registry together, heap. MetricsSnapshot last; status 1 where an aim
 * is missed.
 */
public final class RegistryBench {
    private static final int KEYS = 5_000;
    private static final int CHANGES = 200;
    private static final double LONGEST_S = 2;
    private static boolean missed;

    private RegistryBench() {}

    public static void main(String[] args) throws Exception {
        boolean full = Arrays.asList(args).contains("--full");
        breaks(full);
        long[] bytes = BreakBytes.measure(KEYS);
        figure("bytes_per_break", (double) bytes[0]);
        figure("bytes_per_break_plain", (double) bytes[1]);
        aim("bytes_per_break", bytes[0] < bytes[1]);
        int jittered = HerdCalls.peak(true);
        int inStep = HerdCalls.peak(false);
        figure("herd_48_peak_calls_per_s", jittered);
        figure("herd_48_peak_calls_per_s_without_jitter", inStep);
        aim("herd_48_peak_calls_per_s", jittered < inStep);
        figure("heap_bytes_60_hosts", (double) ViewHeap.bytes(60));
        figure("heap_bytes_5000_hosts", (double) ViewHeap.bytes(KEYS));
        System.exit(missed ? 1 : 0);
    }

    /** Several programs at once, one of them on Consul, which gives its whole list at each change and so gets fewer. */
    private static void breaks(boolean full) throws Exception {
        int programs = full ? 8 : 6;
        int all = full ? 2_000 : 200;
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Future<List<BreakPlay.Break>>> plays = new ArrayList<>();
        for (int p = 0; p < programs; p++) {
            int seed = p;
            boolean consul = p == programs - 1;
            int count = all / programs + (p < all % programs ? 1 : 0);
            Callable<List<BreakPlay.Break>> play = () -> {
                try (BreakPlay one =
                        new BreakPlay(seed, !consul, consul ? KEYS / 10 : KEYS, consul ? CHANGES / 10 : CHANGES)) {
                    return one.play(count);
                }
            };
            plays.add(threads.submit(play));
        }
        List<Double> times = new ArrayList<>();
        TreeMap<String, List<Double>> byKind = new TreeMap<>();
        int wrong = 0;
        for (Future<List<BreakPlay.Break>> play : plays) {
            for (BreakPlay.Break each : play.get()) {
                times.add(each.seconds());
                byKind.computeIfAbsent(each.kind(), k -> new ArrayList<>()).add(each.seconds());
                wrong += each.wrong();
            }
        }
        threads.shutdown();
        byKind.forEach((kind, t) -> System.out.println(String.format(
                Locale.ROOT, "%-22s %4d breaks, p50 %.2f s, longest %.2f s", kind, t.size(), at(t, 0.5), at(t, 1))));
        figure("breaks", times.size());
        figure("match_p50_s", at(times, 0.5));
        figure("match_p99_s", at(times, 0.99));
        figure("match_longest_s", at(times, 1));
        figure("views_that_no_revision_held", wrong);
        aim("match_longest_s", at(times, 1) <= LONGEST_S);
        aim("views_that_no_revision_held", wrong == 0);
    }

    private static double at(List<Double> times, double share) {
        double[] sorted = times.stream().mapToDouble(t -> t).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
    }

    private static void figure(String name, double value) {
        System.out.println(name + "="
                + (value == Math.rint(value)
                        ? String.format(Locale.ROOT, "%.0f", value)
                        : String.format(Locale.ROOT, "%.3f", value)));
    }

    private static void aim(String name, boolean met) {
        if (!met) {
            System.out.println("missed: " + name);
            missed = true;
        }
    }

    static void pause(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }
}
