package mintstair.traffic;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * What came of a replay.
 *
 * @param comparison of the recorded exchanges with those of the replay, without retries
 * @param sent requests that were sent, retries included
 * @param connections that were needed
 * @param notSent reads whose write had no response in time
 * @param retriesRejected retries there were no budget or time for
 * @param latenessMicros how late requests were sent
 */
record ReplayOutcome(
        Comparison comparison, int sent, int connections, long notSent, int retriesRejected, Histogram latenessMicros) {
    static ReplayOutcome of(List<Replayer.Played> played, Replayer replayer) {
        Comparison comparison = new Comparison();
        for (Replayer.Played each : played) {
            if (!each.scheduled().isRetry()) {
                comparison.add(each.scheduled().recorded(), each.replayed());
            }
        }
        ReplaySchedule schedule = replayer.schedule();
        return new ReplayOutcome(
                comparison,
                played.size(),
                schedule.connections(),
                schedule.notSent(),
                schedule.retriesRejected(),
                replayer.lateness());
    }

    /** Whether all requests were sent, and none diverges. */
    boolean isSame() {
        return comparison.isSame() && notSent == 0;
    }

    void print(PrintWriter out) {
        out.print(comparison);
        out.println(String.format(
                Locale.ROOT,
                "sent=%d connections=%d not_sent=%d retries_without_budget=%d lateness_us p50=%d p99=%d most=%d",
                sent,
                connections,
                notSent,
                retriesRejected,
                latenessMicros.getValueAtPercentile(50),
                latenessMicros.getValueAtPercentile(99),
                latenessMicros.getMaxValue()));
        if (notSent > 0) {
            out.println("not sent: " + notSent + " reads, as the write that they follow had no answer in time");
        }
    }
}
