package mintstair.membership.swim;

/**
 * What one member may conclude from its view: whether it is settled, and how many it has to count. The bounds that all share
 * are only kept if everyone who is settled is counted by everyone who is settled, whatever the network does; docs/design-membership.md
 * says why these rules give that.
 */
public final class ClusterSizeEstimate {
    /** Whoever is cut off has noticed within this many times the spread of news after it is taken for dead. */
    private static final int DROP = 3;

    /**
     * What follows from the members that are seen.
     *
     * @param largest the largest size that was seen or told
     * @param counted those who may run and may themselves be settled, this one included
     * @param settled whether this one may take a part of what is shared among those
     * @param quorum whether it sees more than half of those that there have to be
     */
    public record Standing(int largest, int counted, boolean settled, boolean quorum) {}

    /** Whom the fleet consists of, as far as it is known: falls only by those that left or were dropped. */
    private int expected;

    private int largest;
    private int lastMay = 1;
    private long quorumSince = Long.MAX_VALUE;
    private long unsureUntil;
    private Standing newest;

    ClusterSizeEstimate(int told, long now) {
        expected = Math.max(1, told);
        largest = expected;
        unsureUntil = now;
        newest = new Standing(largest, largest, false, false);
    }

    /** It has just started, or stood still: what it knows, and what is known of it, may be old for as long as news take to spread. */
    void unsure(long now, long spread) {
        unsureUntil = Math.max(unsureUntil, now + spread);
        quorumSince = Long.MAX_VALUE;
    }

    /** Whether a member declared dead at this time has noticed by now that it is cut off, if it runs. */
    boolean drops(long now, long deadSince, long spread) {
        return quorumSince != Long.MAX_VALUE && now - Math.max(deadSince, quorumSince) > DROP * spread;
    }

    /** @param alive those that are, this one included; {@code may}: those that may run, all but those that left or were dropped */
    void assess(long now, int alive, int may, long spread) {
        expected = Math.max(may, expected - Math.max(0, lastMay - may));
        lastMay = may;
        largest = Math.max(largest, may);
        boolean quorum = 2 * alive > expected;
        if (quorum && quorumSince == Long.MAX_VALUE) {
            quorumSince = now;
            unsureUntil = Math.max(unsureUntil, now + spread);
        } else if (!quorum) {
            quorumSince = Long.MAX_VALUE;
        }
        newest = new Standing(largest, may, quorum && now >= unsureUntil, quorum);
    }

    Standing newest() {
        return newest;
    }
}
