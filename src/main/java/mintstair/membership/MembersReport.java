package mintstair.membership;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import mintstair.membership.swim.ClusterSizeEstimate;
import mintstair.membership.swim.GossipUpdate;
import mintstair.membership.swim.MembershipView;

/** Formats the output of the {@code members} command: this member, its peers by name, the cluster size estimate. */
final class MembersReport {
    private MembersReport() {}

    static String format(MembershipView view, long nowMicros) {
        StringBuilder text = new StringBuilder();
        appendMember(text, view.self());
        text.append(" self\n");
        for (MembershipView.Peer peer : view.peers()) {
            appendPeer(text, peer, nowMicros);
        }
        appendEstimate(text, view);
        return text.toString();
    }

    private static void appendPeer(StringBuilder text, MembershipView.Peer peer, long nowMicros) {
        long inStateMicros = Math.max(0, nowMicros - peer.sinceMicros());
        appendMember(text, peer.update());
        text.append(" for=")
                .append(TimeUnit.MICROSECONDS.toSeconds(inStateMicros))
                .append('s');
        if (peer.dropped()) {
            text.append(" dropped");
        }
        text.append('\n');
    }

    private static void appendMember(StringBuilder text, GossipUpdate update) {
        text.append("member ").append(update.name());
        text.append(' ').append(update.state().name().toLowerCase(Locale.ROOT));
        text.append(' ').append(update.address());
        text.append(" incarnation=").append(update.incarnation());
    }

    private static void appendEstimate(StringBuilder text, MembershipView view) {
        ClusterSizeEstimate estimate = view.sizeEstimate();
        text.append("view version=").append(view.version());
        text.append(" settled=").append(estimate.settled());
        text.append(" quorum=").append(estimate.hasQuorum());
        text.append(" counted=").append(estimate.counted());
        text.append(" largest=").append(estimate.largest());
        text.append('\n');
    }
}
