package mintstair.membership.swim;

/**
 * The protocol's figures; times in microseconds.
 *
 * @param period how often a member pings another
 * @param answerWithin how long it waits before it asks others to ping
 * @param helpers how many it asks
 * @param suspicion shortest time of a suspicion, in periods, for each power of ten of the fleet's size
 * @param closed time of a suspicion, in periods, where the member's address turned a connection away: its process is gone, while one
 *     that stands still or is cut off is silent
 * @param suspicionMost longest, as a multiple of that
 * @param confirmations others whose own suspicion shortens it to the shortest
 * @param retransmits times that news are told, for each power of ten of the fleet's size
 * @param slowMost how many times longer a member that takes itself to be slow lets its period and time-outs grow
 * @param compareEvery how often a member compares its view with another's
 * @param kept how long those that are dead or left are remembered
 * @param mostMembers beyond this many no new member is taken in
 * @param told how many members the operator says that there are
 */
public record SwimSettings(
        long period,
        long answerWithin,
        int helpers,
        double suspicion,
        double closed,
        double suspicionMost,
        int confirmations,
        double retransmits,
        int slowMost,
        long compareEvery,
        long kept,
        int mostMembers,
        int told) {

    private static final double SPREAD = 5;
    /** In a small fleet too many tellings go to whom the news are of, or to those that told them. */
    private static final int LEAST_TENS = 2;

    /** What serves on a network of one site. */
    public static SwimSettings usual(int told) {
        return new SwimSettings(400_000, 120_000, 3, 20, 1, 2, 2, 6, 4, 4_000_000, 3_600_000_000L, 4096, told);
    }

    /** The same protocol at another pace: all times in proportion, but those that are remembered. */
    public SwimSettings withPeriod(long other) {
        double factor = (double) other / period;
        return new SwimSettings(
                other,
                (long) (answerWithin * factor),
                helpers,
                suspicion,
                closed,
                suspicionMost,
                confirmations,
                retransmits,
                slowMost,
                (long) (compareEvery * factor),
                kept,
                mostMembers,
                told);
    }

    /** The same, but those that are gone are remembered for so long. */
    public SwimSettings keeping(long time) {
        return new SwimSettings(
                period,
                answerWithin,
                helpers,
                suspicion,
                closed,
                suspicionMost,
                confirmations,
                retransmits,
                slowMost,
                compareEvery,
                time,
                mostMembers,
                told);
    }

    /** The shortest suspicion in a fleet of this size. */
    long leastSuspicion(int members) {
        return (long) (suspicion * Math.max(1, Math.log10(Math.max(1, members))) * period);
    }

    long mostSuspicion(int members) {
        return (long) (suspicionMost * leastSuspicion(members));
    }

    long closedSuspicion() {
        return (long) (closed * period);
    }

    /** News reach all members within this, with much to spare. */
    long spread(int members) {
        long rounds = (long) (SPREAD * Math.ceil(Math.log(members + 1) / Math.log(2)));
        return rounds * period;
    }

    int tellings(int members) {
        return (int) Math.ceil(retransmits * Math.max(LEAST_TENS, Math.ceil(Math.log10(members + 1))));
    }
}
