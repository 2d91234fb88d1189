package mintstair.membership.swim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Anti-entropy: each member regularly sends a digest of its state to another random member. If the digests differ, both
 * send their whole state. This delivers updates that dissemination missed, lets new members join through the seeds, and
 * merges the sides of a partition once it has healed.
 */
final class AntiEntropy {
    /** Maximum size of the updates in one page of the state: a message with them fits an unfragmented datagram. */
    private static final int PAGE_BYTES = 1_200;
    /** Maximum number of times that the whole state is sent within a mean sync interval. */
    private static final int MAX_STATES_PER_INTERVAL = 8;
    /** Intervals vary at random by up to a quarter in either direction, so that rounds of members do not coincide. */
    private static final double MIN_INTERVAL_FACTOR = 0.75;

    private static final double INTERVAL_JITTER = 0.5;

    private final SwimSettings settings;
    private final List<String> seeds;
    private final LocalMember local;
    private final MemberTable members;
    private final MessageSender sender;
    private final Random random;
    private long nextRoundMicros;
    private long lastStateSentMicros;

    AntiEntropy(
            long nowMicros,
            SwimSettings settings,
            List<String> seeds,
            LocalMember local,
            MemberTable members,
            MessageSender sender,
            Random random) {
        this.settings = settings;
        this.seeds = List.copyOf(seeds);
        this.local = local;
        this.members = members;
        this.sender = sender;
        this.random = random;
        // The first round starts at a random time within one period, so that rounds of members started at the same time
        // do not coincide.
        nextRoundMicros = nowMicros + (long) (random.nextDouble() * settings.periodMicros());
        lastStateSentMicros = nowMicros - settings.syncIntervalMicros();
    }

    /** Returns when {@link #tick} is next due. */
    long nextTickMicros() {
        return nextRoundMicros;
    }

    void tick(long nowMicros) {
        if (nowMicros >= nextRoundMicros) {
            startRound(nowMicros);
        }
    }

    private void startRound(long nowMicros) {
        double factor = MIN_INTERVAL_FACTOR + INTERVAL_JITTER * random.nextDouble();
        nextRoundMicros = nowMicros + (long) (settings.syncIntervalMicros() * factor);
        members.forgetExpired(nowMicros);
        List<Member> alive = members.randomMembers(1, Member::isAlive);
        if (alive.isEmpty()) {
            contactSeeds(nowMicros);
        }
        for (Member partner : alive) {
            sender.send(partner.address(), compareDigests(nowMicros));
        }
        // After a partition, each side considers the other dead, so dead members have to be contacted for the sides to
        // merge. Each member contacts one per round: with ten members, about one contact per period in the whole fleet.
        for (Member dead : members.randomMembers(1, Member::isDead)) {
            sender.sendWithFirst(dead.update(), dead.address(), compareDigests(nowMicros));
        }
    }

    /** Contacts the seeds, and does so again in each period until a member is alive. */
    private void contactSeeds(long nowMicros) {
        nextRoundMicros = nowMicros + settings.periodMicros();
        for (String seed : seeds) {
            if (!seed.equals(local.address())) {
                sender.send(seed, compareDigests(nowMicros));
            }
        }
    }

    private Message.CompareDigests compareDigests(long nowMicros) {
        return new Message.CompareDigests(digest(nowMicros));
    }

    /** Returns a digest that is equal for members that agree on names, incarnations and states. */
    private long digest(long nowMicros) {
        long digest = local.update().fingerprint();
        for (Member member : members.membersToSync(nowMicros)) {
            digest += member.update().fingerprint();
        }
        return digest;
    }

    void onCompareDigests(long nowMicros, GossipUpdate from, Message.CompareDigests compare) {
        if (compare.digest() != digest(nowMicros)) {
            sender.send(from.address(), new Message.FetchUpdates());
            sendState(nowMicros, from);
        }
    }

    /**
     * Sends the whole state, unless it was sent to any member very recently. A receiver that gets none requests it
     * again in a later round.
     */
    void sendState(long nowMicros, GossipUpdate receiver) {
        if (nowMicros - lastStateSentMicros < settings.syncIntervalMicros() / MAX_STATES_PER_INTERVAL) {
            return;
        }
        lastStateSentMicros = nowMicros;
        for (List<GossipUpdate> page : pages(nowMicros)) {
            sender.sendUpdates(receiver.address(), new Message.GossipOnly(), page);
        }
    }

    /** Returns the whole state in pages that each fit a datagram. */
    private List<List<GossipUpdate>> pages(long nowMicros) {
        List<List<GossipUpdate>> pages = new ArrayList<>();
        List<GossipUpdate> page = new ArrayList<>();
        int pageBytes = 0;
        for (Member member : members.membersToSync(nowMicros)) {
            int updateBytes = GossipQueue.encodedBytes(member.update());
            if (pageBytes + updateBytes > PAGE_BYTES) {
                pages.add(page);
                page = new ArrayList<>();
                pageBytes = 0;
            }
            page.add(updateWithAge(nowMicros, member));
            pageBytes += updateBytes;
        }
        pages.add(page);
        return pages;
    }

    private static GossipUpdate updateWithAge(long nowMicros, Member member) {
        GossipUpdate update = member.update();
        return member.isActive() ? update : update.withAgeMicros(nowMicros - member.sinceMicros());
    }
}
