package mintstair.decision;

/**
 * A learned number of requests in flight, for a primary or for each replica of a group in the mean. Swift answers
 * raise it, slow or missing ones and hosts that turn requests away lower it, and without answers it goes back to
 * where it does not bind. Times are microseconds. Not safe for use by several threads.
 */
final class ConcurrencyLimit {
    /** Full: answers take this share of their aims; tails take twice it. */
    static final double STRAIN_AIM = 0.45;
    /** Of its aim: an answer that was turned away, is missing or is as late. */
    static final double NOT_IN_TIME = 1.5;
    /** Swift: less than this share of {@link #STRAIN_AIM}. */
    static final double SWIFT = 0.75;
    /** Answers of one group that weigh as much as those of all groups. */
    static final double POOLED = 5;

    /** In flight at first, of all routers together, and of one at least. */
    private static final double FIRST_OF_ALL = 16;

    private static final double FIRST_OF_ONE = 2;
    /** The fewest in flight, likewise: enough to see a recovery. */
    private static final double LEAST_OF_ALL = 2;

    private static final double LEAST_OF_ONE = 0.02;
    /** What a swift answer raises the limit by, and a slow one lowers it by. */
    private static final double STEP_UP = 0.02;

    private static final double STEP_DOWN = 0.03;
    private static final double FULL_STEPS = 10;
    /** A strained limit is first cut to this many times its use. */
    private static final double OVER_USE = 1;
    /** Answers that are further apart than this count more, up to tenfold. */
    private static final double EVIDENCE_SPACING = 100_000;

    private static final double MOST_SPAN = 10;
    /** Without answers, a limit and its evidence fade in this time. */
    private static final double FADE = 10_000_000;

    private static final double NEWEST = 0.1;
    private static final double NEWEST_AT_MOST = 0.4;

    private final double keptInFlight;
    private final ConcurrencyLimit pooled;
    private double routers;
    private double least;
    private double first;
    private double limit;
    private double strain;
    private double swift;
    private double missing;
    private double evidence;
    private double used = 1;
    private long changedAt;

    /**
     * Starts where nothing is known.
     *
     * @param routers how many share the hosts; each has its part
     * @param pooled the limit of all groups, which stands in while this one has little evidence; null for none
     * @param keptInFlight the fewest in flight that slow answers alone leave; 1 at a primary, for writes
     */
    ConcurrencyLimit(double routers, ConcurrencyLimit pooled, double keptInFlight) {
        this.keptInFlight = keptInFlight;
        this.pooled = pooled;
        this.routers = routers;
        setFleetSize(routers);
        limit = first;
    }

    /** One of so many routers from now on, and its part as much smaller or larger. */
    void setFleetSize(double count) {
        least = Math.max(LEAST_OF_ONE, LEAST_OF_ALL / count);
        first = Math.max(FIRST_OF_ONE, FIRST_OF_ALL / count);
        limit = Math.max(least, limit * routers / count);
        routers = count;
    }

    /** Without answers a limit goes back to where it does not bind: no evidence, plain mechanism. */
    private void fade(long now) {
        double kept = Math.exp(-Math.max(0, now - changedAt - EVIDENCE_SPACING) / FADE);
        evidence *= kept;
        if (limit < first) {
            limit = Math.min(first, limit / kept);
        }
        changedAt = Math.max(changedAt, now);
    }

    /**
     * An answer came, or is missing: silence says as little as the answers do.
     *
     * @param ofAim the share of its aim that it took
     * @param full whether its host turned it away
     * @param inFlight requests in flight behind it
     * @param binding what one more request adds to those
     */
    void sample(long now, double ofAim, boolean answered, boolean full, double inFlight, double binding) {
        double span = Math.max(1, Math.min(MOST_SPAN, (now - changedAt) / EVIDENCE_SPACING));
        fade(now);
        evidence++;
        used += NEWEST * (inFlight + binding - used);
        learn(Math.min(NEWEST_AT_MOST, NEWEST * span), ofAim, answered);
        // A limit far over its use does nothing: it starts to sink from where it begins to bind.
        double down = limit * (1 - STEP_DOWN * (full ? FULL_STEPS : span));
        // Slow answers that come leave a primary one in flight: below it a router that hears little
        // holds back writes from a primary with none of its requests. Turned away or missing cut further.
        double floor = ofAim < NOT_IN_TIME ? Math.max(least, Math.min(keptInFlight, limit)) : least;
        if (full) {
            limit = Math.max(least, down);
        } else if (isStrained()) {
            limit = Math.max(floor, Math.min(down, OVER_USE * used));
        } else if (inFlight > 0.5 * limit || limit < first) {
            limit *= 1 + STEP_UP * span;
        }
        if (pooled != null) {
            pooled.sample(now, ofAim, answered, false, inFlight, binding);
        }
    }

    private void learn(double newest, double ofAim, boolean answered) {
        if (answered) {
            swift += newest * (ofAim - swift);
        }
        // Answers that are missing while the rest is swift are lost, unless it is most that are missing.
        missing += newest * ((answered ? 0 : 1) - missing);
        double ofSwift = missing > 0.5 ? 1 : swift / STRAIN_AIM / SWIFT;
        strain += newest * ((answered ? ofAim : NOT_IN_TIME * Math.min(1, ofSwift * ofSwift)) - strain);
    }

    /** What this group's answers say, as far as there are enough of them, else those of all groups. */
    double value(long now) {
        fade(now);
        if (pooled == null) {
            return limit;
        }
        return (evidence * limit + POOLED * pooled.value(now)) / (evidence + POOLED);
    }

    /** Whether answers take more of their aims than they should. */
    boolean isStrained() {
        return strain > STRAIN_AIM;
    }

    /** The share of its aim that an answer takes in the mean, of those that come. */
    double answerTime() {
        return swift;
    }

    /** How many answers, faded with time, it rests on. */
    double evidence() {
        return evidence;
    }
}
