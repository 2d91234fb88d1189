package mintstair.membership.swim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Anti-entropy: each member regularly compares a digest of its state with a random other member's; where they differ,
 * both send their whole state. Corrects what dissemination missed, joins new members through the seeds, and lets the
 * sides of a partition find each other again.
 */
final class AntiEntropy {
    /** Bytes of updates in one page of the state: with the message they fit a datagram that is not fragmented. */
    private static final int PAGE_BYTES = 1_200;
    /** The whole state is sent no more often than this many times in a mean interval. */
    private static final int MAX_STATES_PER_INTERVAL = 8;
    /** Intervals vary at random by a quarter to either side, so that members do not synchronize. */
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
        // At a random time of the first period, so that members which start together do not ask together.
        nextRoundMicros = nowMicros + (long) (random.nextDouble() * settings.periodMicros());
        lastStateSentMicros = nowMicros - settings.syncIntervalMicros();
    }

    /** When {@link #tick} has something to do again. */
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
        List<Member> alive = members.random(1, Member::isAlive);
        if (alive.isEmpty()) {
            contactSeeds(nowMicros);
        }
        for (Member partner : alive) {
            sender.send(partner.address(), compareDigests(nowMicros));
        }
        // After a partition that each side took for the other's death, someone has to contact the far side. Over all
        // members that is about one contact in a period.
        for (Member dead : members.random(1, Member::isDead)) {
            sender.sendWithFirst(dead.update(), dead.address(), compareDigests(nowMicros));
        }
    }

    /** Nobody is alive yet, or any more: the seeds are asked in each period until one answers. */
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

    /** Equal for members that agree on names, incarnations and states. */
    private long digest(long nowMicros) {
        long digest = local.update().fingerprint();
        for (Member member : members.shared(nowMicros)) {
            digest += member.update().fingerprint();
        }
        return digest;
    }

    void digestReceived(long nowMicros, GossipUpdate from, Message.CompareDigests compare) {
        if (compare.digest() != digest(nowMicros)) {
            sender.send(from.address(), new Message.FetchUpdates());
            sendState(nowMicros, from);
        }
    }

    /** Sends the whole state, unless it was just sent to another member: whoever gets none asks again next round. */
    void sendState(long nowMicros, GossipUpdate receiver) {
        if (nowMicros - lastStateSentMicros < settings.syncIntervalMicros() / MAX_STATES_PER_INTERVAL) {
            return;
        }
        lastStateSentMicros = nowMicros;
        for (List<GossipUpdate> page : pages(nowMicros)) {
            sender.sendUpdates(receiver.address(), new Message.GossipOnly(), page);
        }
    }

    /** The whole state, in pages that each fit a datagram. */
    private List<List<GossipUpdate>> pages(long nowMicros) {
        List<List<GossipUpdate>> pages = new ArrayList<>();
        List<GossipUpdate> page = new ArrayList<>();
        int pageBytes = 0;
        for (Member member : members.shared(nowMicros)) {
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
