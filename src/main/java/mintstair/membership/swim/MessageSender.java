package mintstair.membership.swim;

import java.util.List;

/** Sends messages from this member and piggybacks queued gossip updates on them. */
final class MessageSender {
    /** Maximum size of the queued updates on a message: a message with them fits an unfragmented datagram. */
    private static final int PIGGYBACK_BYTES = 1_000;

    private final SwimSettings settings;
    private final LocalMember local;
    private final MemberTable members;
    private final GossipQueue gossip;
    private final SwimActions actions;
    private long sentMessages;

    MessageSender(
            SwimSettings settings, LocalMember local, MemberTable members, GossipQueue gossip, SwimActions actions) {
        this.settings = settings;
        this.local = local;
        this.members = members;
        this.gossip = gossip;
        this.actions = actions;
    }

    /** Sends a message with queued updates. */
    void send(String address, Message.Body body) {
        sendUpdates(address, body, pollGossip());
    }

    /**
     * Sends a message with the given update before the queued ones. This informs a member of its own suspicion or
     * death, which it can then refute.
     */
    void sendWithFirst(GossipUpdate first, String address, Message.Body body) {
        List<GossipUpdate> updates = pollGossip();
        updates.add(0, first);
        sendUpdates(address, body, updates);
    }

    /** Sends a message with exactly these updates. */
    void sendUpdates(String address, Message.Body body, List<GossipUpdate> updates) {
        sentMessages++;
        actions.send(address, new Message(local.update(), body, updates));
    }

    private List<GossipUpdate> pollGossip() {
        return gossip.poll(PIGGYBACK_BYTES, settings.maxTransmissions(members.activeCount()));
    }

    long sentMessages() {
        return sentMessages;
    }
}
