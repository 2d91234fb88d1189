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
 * This proxy's membership in its fleet: changes of the fleet's size go to the event loop, the view of the members to
 * metrics and control commands. Safe for use by several threads.
 */
final class MembershipService implements AutoCloseable {
    private static final int MICROS_PER_MILLI = 1_000;

    private final FleetMember member;
    private final Executor loop;
    private final Consumer<RouterEvent.FleetSizeChanged> listener;
    /**
     * The latest size that the loop has not applied yet; it replaces an earlier one, so that at most one task waits.
     */
    private final AtomicReference<RouterEvent.FleetSizeChanged> pending = new AtomicReference<>();

    /**
     * Binds the member's sockets.
     *
     * @param configuredSize the fleet's size by the settings, counted upon until members have been found
     * @param listener takes changes of the fleet's size, on the loop
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

    /** The members as this proxy sees them, a line each. */
    String lines() {
        return member.report();
    }

    /** Adds the state of the fleet and the counts of the protocol. */
    void addTo(MetricsSnapshot.Builder metrics) {
        MembershipView view = member.view();
        addStates(view, metrics);
        addSizeEstimate(view.sizeEstimate(), metrics);
        addProtocolCounts(member.statistics(), metrics);
    }

    private static void addStates(MembershipView view, MetricsSnapshot.Builder metrics) {
        long[] members = new long[MemberState.values().length];
        view.peers().forEach(peer -> members[peer.update().state().ordinal()]++);
        // This proxy is not in its own view.
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

    private void addProtocolCounts(SwimStatistics statistics, MetricsSnapshot.Builder metrics) {
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
     * Leaves the fleet. The size is marked unsettled first: what members share is left to the others before this one
     * goes.
     */
    @Override
    public void close() {
        ClusterSizeEstimate size = member.view().sizeEstimate();
        loop.execute(() -> listener.accept(new RouterEvent.FleetSizeChanged(size.largest(), size.counted(), false)));
        member.close();
    }
}
