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
import mintstair.membership.swim.View;
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

    private void onView(View view) {
        ClusterSizeEstimate.Standing size = view.standing();
        RouterEvent.FleetSizeChanged changed =
                new RouterEvent.FleetSizeChanged(size.largest(), size.counted(), size.settled());
        if (pending.getAndSet(changed) == null) {
            loop.execute(() -> listener.accept(pending.getAndSet(null)));
        }
    }

    /** The members as this proxy sees them, a line each. */
    String lines() {
        return member.lines();
    }

    /** Adds the state of the fleet and the counts of the protocol. */
    void addTo(MetricsSnapshot.Builder metrics) {
        View view = member.view();
        addStates(view, metrics);
        addSizeEstimate(view.standing(), metrics);
        addProtocolCounts(member.tally(), metrics);
    }

    private static void addStates(View view, MetricsSnapshot.Builder metrics) {
        long[] members = new long[MemberState.values().length];
        view.members().forEach(seen -> members[seen.known().state().ordinal()]++);
        // This proxy is not in its own view.
        members[MemberState.ALIVE.ordinal()]++;
        Arrays.stream(MemberState.values())
                .forEach(state ->
                        metrics.add("members_" + state.name().toLowerCase(Locale.ROOT), members[state.ordinal()]));
    }

    private static void addSizeEstimate(ClusterSizeEstimate.Standing size, MetricsSnapshot.Builder metrics) {
        metrics.add("members_counted", size.counted())
                .add("members_settled", size.settled() ? 1 : 0)
                .add("members_quorum", size.quorum() ? 1 : 0);
    }

    private void addProtocolCounts(View.Tally tally, MetricsSnapshot.Builder metrics) {
        long detectMillis = tally.deaths() == 0 ? 0 : tally.untilDeaths() / tally.deaths() / MICROS_PER_MILLI;
        metrics.add("member_suspicions_raised", tally.raised())
                .add("member_suspicions_refuted", tally.refuted())
                .add("member_deaths", tally.deaths())
                .add("member_false_deaths", tally.falseDeaths())
                .add("member_detect_ms", detectMillis)
                .add("member_refutations", tally.refutations())
                .add("member_stalls", tally.stalls())
                .add("member_messages_sent", tally.sent())
                .add("member_messages_heard", tally.heard())
                .add("member_messages_garbled", member.garbled())
                .add("member_messages_unsent", member.unsent())
                .add("member_turned_away", tally.turnedAway())
                .add("member_namesakes", tally.namesakes());
    }

    /**
     * Leaves the fleet. The size is marked unsettled first: what members share is left to the others before this one
     * goes.
     */
    @Override
    public void close() {
        ClusterSizeEstimate.Standing size = member.view().standing();
        loop.execute(() -> listener.accept(new RouterEvent.FleetSizeChanged(size.largest(), size.counted(), false)));
        member.close();
    }
}
