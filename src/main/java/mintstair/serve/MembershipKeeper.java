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

/** Carries what this proxy knows of the others to the loop, the figures and whoever asks. */
final class MembershipKeeper implements AutoCloseable {
    private final FleetMember member;
    private final Executor loop;
    private final Consumer<RouterEvent.FleetSizeChanged> proxies;
    /** The newest that the loop has not taken yet: an older one is of no use, so one waits at most. */
    private final AtomicReference<RouterEvent.FleetSizeChanged> waiting = new AtomicReference<>();

    MembershipKeeper(
            MembershipConfig config,
            String name,
            int told,
            long seed,
            Executor loop,
            Consumer<RouterEvent.FleetSizeChanged> proxies)
            throws IOException {
        this.loop = loop;
        this.proxies = proxies;
        member = new FleetMember(config, name, told, seed, this::told, System.out::println);
    }

    void start() {
        member.start();
    }

    private void told(MembershipView view) {
        ClusterSizeEstimate s = view.sizeEstimate();
        if (waiting.getAndSet(new RouterEvent.FleetSizeChanged(s.largest(), s.counted(), s.settled())) == null) {
            loop.execute(() -> proxies.accept(waiting.getAndSet(null)));
        }
    }

    String lines() {
        return member.report();
    }

    /** Adds what is known of the fleet to the figures of the second address; from any thread. */
    void addTo(MetricsSnapshot.Builder metrics) {
        MembershipView view = member.view();
        long[] states = new long[MemberState.values().length];
        view.peers().forEach(m -> states[m.update().state().ordinal()]++);
        states[MemberState.ALIVE.ordinal()]++;
        Arrays.stream(MemberState.values())
                .forEach(state ->
                        metrics.add("members_" + state.name().toLowerCase(Locale.ROOT), states[state.ordinal()]));
        SwimStatistics t = member.statistics();
        metrics.add("members_counted", view.sizeEstimate().counted())
                .add("members_settled", view.sizeEstimate().settled() ? 1 : 0)
                .add("members_quorum", view.sizeEstimate().quorum() ? 1 : 0)
                .add("member_suspicions_raised", t.raisedSuspicions())
                .add("member_suspicions_refuted", t.refutedSuspicions())
                .add("member_deaths", t.deaths())
                .add("member_false_deaths", t.falseDeaths())
                .add("member_detect_ms", t.deaths() == 0 ? 0 : t.suspicionMicros() / t.deaths() / 1000)
                .add("member_refutations", t.ownRefutations())
                .add("member_stalls", t.stalls())
                .add("member_messages_sent", t.sentMessages())
                .add("member_messages_heard", t.receivedMessages())
                .add("member_messages_garbled", member.garbledMessages())
                .add("member_messages_unsent", member.unsentMessages())
                .add("member_turned_away", t.rejected())
                .add("member_namesakes", t.nameConflicts());
    }

    /** What is shared is left to the others before they are told that this one ends. */
    @Override
    public void close() {
        ClusterSizeEstimate s = member.view().sizeEstimate();
        loop.execute(() -> proxies.accept(new RouterEvent.FleetSizeChanged(s.largest(), s.counted(), false)));
        member.close();
    }
}
