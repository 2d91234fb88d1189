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

    private void told(View view) {
        ClusterSizeEstimate.Standing s = view.standing();
        if (waiting.getAndSet(new RouterEvent.FleetSizeChanged(s.largest(), s.counted(), s.settled())) == null) {
            loop.execute(() -> proxies.accept(waiting.getAndSet(null)));
        }
    }

    String lines() {
        return member.lines();
    }

    /** Adds what is known of the fleet to the figures of the second address; from any thread. */
    void addTo(MetricsSnapshot.Builder metrics) {
        View view = member.view();
        long[] states = new long[MemberState.values().length];
        view.members().forEach(m -> states[m.known().state().ordinal()]++);
        states[MemberState.ALIVE.ordinal()]++;
        Arrays.stream(MemberState.values())
                .forEach(state ->
                        metrics.add("members_" + state.name().toLowerCase(Locale.ROOT), states[state.ordinal()]));
        View.Tally t = member.tally();
        metrics.add("members_counted", view.standing().counted())
                .add("members_settled", view.standing().settled() ? 1 : 0)
                .add("members_quorum", view.standing().quorum() ? 1 : 0)
                .add("member_suspicions_raised", t.raised())
                .add("member_suspicions_refuted", t.refuted())
                .add("member_deaths", t.deaths())
                .add("member_false_deaths", t.falseDeaths())
                .add("member_detect_ms", t.deaths() == 0 ? 0 : t.untilDeaths() / t.deaths() / 1000)
                .add("member_refutations", t.refutations())
                .add("member_stalls", t.stalls())
                .add("member_messages_sent", t.sent())
                .add("member_messages_heard", t.heard())
                .add("member_messages_garbled", member.garbled())
                .add("member_messages_unsent", member.unsent())
                .add("member_turned_away", t.turnedAway())
                .add("member_namesakes", t.namesakes());
    }

    /** What is shared is left to the others before they are told that this one ends. */
    @Override
    public void close() {
        ClusterSizeEstimate.Standing s = member.view().standing();
        loop.execute(() -> proxies.accept(new RouterEvent.FleetSizeChanged(s.largest(), s.counted(), false)));
        member.close();
    }
}
