package mintstair.serve;

import java.io.IOException;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import mintstair.config.MembershipConfig;
import mintstair.membership.FleetMember;
import mintstair.membership.swim.ClusterSizeEstimate;
import mintstair.membership.swim.MemberState;
import mintstair.membership.swim.MembershipView;
import mintstair.membership.swim.SwimStatistics;
import mintstair.routing.RouterEvent;
import mintstair.stats.MetricsSnapshot;

/**
 * Represents this proxy in its fleet. Reports changes of the fleet size to a listener on the event loop, and the view
 * of the members to metrics and control commands. Thread-safe.
 */
final class MembershipService implements AutoCloseable {
    private static final int MICROS_PER_MILLI = 1_000;

    private final FleetMember member;
    private final Executor loop;
    private final Consumer<RouterEvent.FleetSizeChanged> listener;
    /**
     * The latest size that has not been reported yet, or null. It replaces an earlier one, so that at most one task is
     * queued.
     */
    private final AtomicReference<RouterEvent.FleetSizeChanged> pending = new AtomicReference<>();

    /**
     * Binds the member's sockets.
     *
     * @param configuredSize the fleet size in the settings, which is used until members have been discovered
     * @param listener is called on the loop with each change of the fleet size
     */
    MembershipService(
            MembershipConfig config,
            String name,
            int configuredSize,
            long seed,
            Executor loop,
            Consumer<RouterEvent.FleetSizeChanged> listener)
            throws IOException {
        this.loop = loop;
        this.listener = listener;
        member = new FleetMember(config, name, configuredSize, seed, this::onView, System.out::println);
    }

    /** Joins the fleet. */
    void start() {
        member.start();
    }

    private void onView(MembershipView view) {
        ClusterSizeEstimate size = view.sizeEstimate();
        RouterEvent.FleetSizeChanged changed =
                new RouterEvent.FleetSizeChanged(size.largest(), size.counted(), size.settled());
        if (pending.getAndSet(changed) == null) {
            loop.execute(() -> listener.accept(pending.getAndSet(null)));
        }
    }

    /** Returns the members in this proxy's view, one per line. */
    String lines() {
        return member.report();
    }

    /** Adds the member counts by state, the size estimate and the protocol's statistics. */
    void addTo(MetricsSnapshot.Builder metrics) {
        MembershipView view = member.view();
        addMemberStates(view, metrics);
        addSizeEstimate(view.sizeEstimate(), metrics);
        addStatistics(member.statistics(), metrics);
    }

    private static void addMemberStates(MembershipView view, MetricsSnapshot.Builder metrics) {
        long[] members = new long[MemberState.values().length];
        view.peers().forEach(peer -> members[peer.update().state().ordinal()]++);
        // The view contains only the other members.
        members[MemberState.ALIVE.ordinal()]++;
        Arrays.stream(MemberState.values())
                .forEach(state ->
                        metrics.add("members_" + state.name().toLowerCase(Locale.ROOT), members[state.ordinal()]));
    }

    private static void addSizeEstimate(ClusterSizeEstimate size, MetricsSnapshot.Builder metrics) {
        metrics.add("members_counted", size.counted())
                .add("members_settled", size.settled() ? 1 : 0)
                .add("members_quorum", size.hasQuorum() ? 1 : 0);
    }

    private void addStatistics(SwimStatistics statistics, MetricsSnapshot.Builder metrics) {
        long detectMillis =
                statistics.deaths() == 0 ? 0 : statistics.suspicionMicros() / statistics.deaths() / MICROS_PER_MILLI;
        metrics.add("member_suspicions_raised", statistics.raisedSuspicions())
                .add("member_suspicions_refuted", statistics.refutedSuspicions())
                .add("member_deaths", statistics.deaths())
                .add("member_false_deaths", statistics.falseDeaths())
                .add("member_detect_ms", detectMillis)
                .add("member_refutations", statistics.ownRefutations())
                .add("member_stalls", statistics.stalls())
                .add("member_messages_sent", statistics.sentMessages())
                .add("member_messages_heard", statistics.receivedMessages())
                .add("member_messages_garbled", member.malformedMessages())
                .add("member_messages_unsent", member.sendFailures())
                .add("member_turned_away", statistics.rejected())
                .add("member_namesakes", statistics.nameConflicts());
    }

    /**
     * Leaves the fleet. First reports the size as unsettled, so that this proxy stops using its part of the limits
     * that the members share before the others take it over.
     */
    @Override
    public void close() {
        ClusterSizeEstimate size = member.view().sizeEstimate();
        loop.execute(() -> listener.accept(new RouterEvent.FleetSizeChanged(size.largest(), size.counted(), false)));
        member.close();
    }
}
