package mintstair.membership.swim;

import java.util.List;
import java.util.Random;

/**
 * SWIM's failure detector. In each protocol period it pings one member. If no ack is received in time, it asks other
 * members to ping the target and opens a connection to it. A member that has not answered by the end of the period
 * becomes suspect, and dead when its suspicion times out.
 */
final class FailureDetector {
    private final SwimSettings settings;
    private final LocalMember local;
    private final MemberTable members;
    private final MessageSender sender;
    private final SwimActions actions;
    private final ProbeRelay relay;
    /** The probe of this period; null if it has ended, was discarded after a stall or had no target. */
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
        // The first probe starts at a random time within one period, so that probes of members started at the same time
        // do not coincide.
        nextProbeMicros = nowMicros + (long) (random.nextDouble() * settings.periodMicros());
    }

    // ---- time ----

    /** Returns when {@link #tick} is next due. */
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

    /** Discards all probes in flight after a stall of this process, as answers may have been lost during it. */
    void onStall() {
        probe = null;
        relay.clear();
    }

    /** Declares suspects dead that have not refuted their suspicion in time. */
    void expireSuspicions(long nowMicros) {
        for (Member suspect : members.expiredSuspects(nowMicros)) {
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
        probe.markIndirectProbesRequested();
        Member target = members.getActive(probe.target());
        if (target == null) {
            return;
        }
        List<Member> relays = members.randomMembers(
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
        Member target = members.getActive(probe.target());
        if (probe.isAnswered()) {
            local.health().improve();
        } else if (target != null) {
            onProbeFailed(nowMicros, target);
        }
        probe = null;
    }

    private void onProbeFailed(long nowMicros, Member target) {
        if (probe.hasNoResponse()) {
            local.health().degrade();
        }
        if (target.isAlive()) {
            raisedSuspicions++;
        }
        members.merge(nowMicros, target.update().withState(MemberState.SUSPECT, local.name()));
        if (probe.isProcessGone()) {
            target.suspicion().onProcessGone(nowMicros + settings.processGoneMicros());
        }
    }

    /**
     * Handles the result of a connection check.
     *
     * @return whether the result ended the current probe, so that the target's state may have changed
     */
    boolean onConnectionChecked(long nowMicros, long sequence, ConnectionCheckResult result) {
        if (!isCurrent(sequence)) {
            return false;
        }
        if (result == ConnectionCheckResult.ANSWERED) {
            probe.markAnswered();
        }
        if (result != ConnectionCheckResult.PROCESS_GONE || probe.isAnswered()) {
            return false;
        }
        // No ack can be received from a process that has ended, so the probe fails before the end of the period.
        probe.markProcessGone();
        finishProbe(nowMicros);
        return true;
    }

    private boolean isCurrent(long sequence) {
        return probe != null && probe.sequence() == sequence;
    }

    // ---- messages ----

    void onPing(GossipUpdate from, Message.Ping ping) {
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

    void onPingRequest(long nowMicros, GossipUpdate from, Message.PingRequest request) {
        if (relay.admit()) {
            relay.start(nowMicros, nextSequence++, from.address(), request);
        }
    }

    void onAck(Message.Ack ack) {
        if (!relay.complete(ack.sequence()) && isCurrent(ack.sequence())) {
            probe.markAnswered();
        }
    }

    void onNack(Message.Nack nack) {
        if (isCurrent(nack.sequence())) {
            probe.recordNack();
        }
    }

    /** Returns the number of suspicions that this member raised by its own probes. */
    long raisedSuspicions() {
        return raisedSuspicions;
    }

    /** Returns the number of requests for indirect probes that were rejected. */
    long rejectedRequests() {
        return relay.rejectedRequests();
    }
}
