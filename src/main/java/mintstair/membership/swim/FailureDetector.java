package mintstair.membership.swim;

import java.util.List;
import java.util.Random;

/**
 * SWIM's failure detector. In each protocol period it probes one member: by a ping; without an ack in time by pings
 * through other members and by a connection. A member that does not answer by the end of the period becomes suspect,
 * and dead when its suspicion times out.
 */
final class FailureDetector {
    private final SwimSettings settings;
    private final LocalMember local;
    private final MemberTable members;
    private final MessageSender sender;
    private final SwimActions actions;
    private final ProbeRelay relay;
    /** The probe of this period; null between a stall, or the end of a probe, and the next period. */
    private Probe probe;

    private long nextSequence;
    private long nextProbeMicros;
    private long raisedSuspicions;

    FailureDetector(
            long nowMicros,
            SwimSettings settings,
            LocalMember local,
            MemberTable members,
            MessageSender sender,
            Random random,
            SwimActions actions) {
        this.settings = settings;
        this.local = local;
        this.members = members;
        this.sender = sender;
        this.actions = actions;
        relay = new ProbeRelay(settings, sender);
        // At a random time of the first period, so that members which start together do not probe together.
        nextProbeMicros = nowMicros + (long) (random.nextDouble() * settings.periodMicros());
    }

    // ---- time ----

    /** When {@link #tick} has something to do again. */
    long nextTickMicros() {
        if (probe == null || !probe.awaitsDirectAck()) {
            return nextProbeMicros;
        }
        return Math.min(nextProbeMicros, probe.startMicros() + ackTimeoutMicros());
    }

    void tick(long nowMicros) {
        if (isDirectAckOverdue(nowMicros)) {
            requestIndirectProbes();
        }
        relay.expire(nowMicros);
        if (nowMicros >= nextProbeMicros) {
            finishProbe(nowMicros);
            nextProbeMicros = nowMicros + local.health().scale(settings.periodMicros());
            startProbe(nowMicros);
        }
    }

    /** This process stood still: answers may have been lost meanwhile, so no probe in flight counts. */
    void stalled() {
        probe = null;
        relay.clear();
    }

    /** Declares suspects dead that did not refute in time. */
    void expireSuspicions(long nowMicros) {
        for (Member suspect : members.overdueSuspects(nowMicros)) {
            members.merge(nowMicros, suspect.update().withState(MemberState.DEAD, local.name()));
        }
    }

    private long ackTimeoutMicros() {
        return local.health().scale(settings.ackTimeoutMicros());
    }

    private boolean isDirectAckOverdue(long nowMicros) {
        return probe != null && probe.awaitsDirectAck() && nowMicros - probe.startMicros() >= ackTimeoutMicros();
    }

    // ---- this member's probes ----

    private void startProbe(long nowMicros) {
        Member target = members.nextProbeTarget();
        if (target == null) {
            return;
        }
        probe = new Probe(nextSequence++, target.name(), nowMicros);
        Message.Ping ping = new Message.Ping(probe.sequence(), target.name());
        if (target.isAlive()) {
            sender.send(target.address(), ping);
        } else {
            sender.sendWithFirst(target.update(), target.address(), ping);
        }
    }

    private void requestIndirectProbes() {
        probe.indirectProbesRequested();
        Member target = members.active(probe.target());
        if (target == null) {
            return;
        }
        List<Member> relays = members.random(
                settings.indirectProbes(),
                member -> member.isAlive() && !member.name().equals(target.name()));
        for (Member chosen : relays) {
            sender.send(chosen.address(), new Message.PingRequest(probe.sequence(), target.name(), target.address()));
        }
        actions.checkConnection(probe.sequence(), target.name(), target.address());
    }

    private void finishProbe(long nowMicros) {
        if (probe == null) {
            return;
        }
        Member target = members.active(probe.target());
        if (probe.isAnswered()) {
            local.health().improve();
        } else if (target != null) {
            probeFailed(nowMicros, target);
        }
        probe = null;
    }

    private void probeFailed(long nowMicros, Member target) {
        if (probe.hasNoResponse()) {
            local.health().degrade();
        }
        if (target.isAlive()) {
            raisedSuspicions++;
        }
        members.merge(nowMicros, target.update().withState(MemberState.SUSPECT, local.name()));
        if (probe.isProcessGone()) {
            target.suspicion().processGone(nowMicros + settings.processGoneMicros());
        }
    }

    /**
     * Takes over the result of a connection.
     *
     * @return whether it ended the probe, so that the target's state may have changed
     */
    boolean connectionChecked(long nowMicros, long sequence, ConnectionCheckResult result) {
        if (!isCurrent(sequence)) {
            return false;
        }
        if (result == ConnectionCheckResult.ANSWERED) {
            probe.answered();
        }
        if (result != ConnectionCheckResult.PROCESS_GONE || probe.isAnswered()) {
            return false;
        }
        // No ack can come any more: the rest of the period need not be waited for.
        probe.processGone();
        finishProbe(nowMicros);
        return true;
    }

    private boolean isCurrent(long sequence) {
        return probe != null && probe.sequence() == sequence;
    }

    // ---- messages ----

    void pingReceived(GossipUpdate from, Message.Ping ping) {
        if (!ping.target().equals(local.name())) {
            return;
        }
        Message.Ack ack = new Message.Ack(ping.sequence());
        Member prober = members.get(from.name());
        if (prober == null || prober.isAlive()) {
            sender.send(from.address(), ack);
        } else {
            sender.sendWithFirst(prober.update(), from.address(), ack);
        }
    }

    void pingRequestReceived(long nowMicros, GossipUpdate from, Message.PingRequest request) {
        if (relay.admit()) {
            relay.start(nowMicros, nextSequence++, from.address(), request);
        }
    }

    void ackReceived(Message.Ack ack) {
        if (!relay.complete(ack.sequence()) && isCurrent(ack.sequence())) {
            probe.answered();
        }
    }

    void nackReceived(Message.Nack nack) {
        if (isCurrent(nack.sequence())) {
            probe.nackReceived();
        }
    }

    /** Suspicions that this member raised itself. */
    long raisedSuspicions() {
        return raisedSuspicions;
    }

    /** Requests for indirect probes that were rejected. */
    long rejectedRequests() {
        return relay.rejected();
    }
}
