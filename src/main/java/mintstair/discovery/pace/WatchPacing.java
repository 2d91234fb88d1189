package mintstair.discovery.pace;

import java.util.Random;
import mintstair.retry.Backoff;

/**
 * How often a proxy asks for the list of hosts, and when it asks anew; without I/O. A host that is to leave counts as told by the
 * clock of whoever holds the list, not by when this proxy reads it, so an unheard answer must be noticed within what the rules
 * leave. Where lists are pushed, an agent on the proxy's own machine answers at once and at no cost, and what it holds counts as
 * told whether or not anybody asks: a quarter of the grace that the settings leave for a leaver is for an answer, half for a
 * call that waits for news, and the rest for asking anew. Where lists are asked for, one service answers all proxies: its calls
 * are spread by {@link JitteredBackoff} and wait for long. All times are microseconds. Not safe for use by several threads.
 */
public final class WatchPacing {
    /** The grace where settings tell none, or one that no proxy could keep or that would leave a silent agent unnoticed. */
    static final long GRACE = 1_000_000;

    private static final long GRACE_LEAST = 200_000;
    private static final long GRACE_MOST = 4_000_000;
    /** After a call that failed at the own agent; doubled up to an answer's time. */
    private static final long AGAIN = 10_000;
    /** As good as not at all: where the own agent has not answered yet, or not for a while, silence is to show at once. */
    private static final long SIGN_OF_LIFE = 1_000;
    /** So many calls may be out to the own agent: one that is slow is still heard while a next one is tried. */
    private static final int CALLS_OUT = 4;

    /** A service that all proxies ask: a call for changes is held there for so long, so that an idle fleet asks seldom. */
    private static final long HELD = 20_000_000;
    /** The first one, and one after trouble: to tell soon whether it answers, and whether its revisions are those that are known. */
    private static final long HELD_UNSURE = 2_000_000;
    /** What a call that failed or was given up has missed counts as told so long after the service had it and could be reached. */
    static final long COUNTS = 6_000_000;
    /**
     * What a silent call misses counts as told 2 s after the time it was held for, and {@link #COUNTS} after it was made: half of
     * that is for noticing.
     */
    private static final long LATE_HELD = 1_000_000;

    private static final long LATE_WHOLE = COUNTS / 2;
    /** The longest wait after a connection to it broke or a held call fell silent: most of what is then left. */
    private static final long AGAIN_MOST = 900_000;
    /** After a call that was turned away: the service is there and busy, and an answer may take the rest. */
    static final long TURNED_AWAY_MOST = 4_500_000;
    /** After a call that was given up, as it may have been made just when the service could be reached again. */
    static final long GIVEN_UP_MOST = 2_500_000;

    /** Why a call has to be made again. */
    public enum Failure {
        /** Its connection broke, was not made or fell silent, or it could not be read: that says nothing of the load on others. */
        BROKEN,
        /** It was turned away. */
        TURNED_AWAY,
        /** An answer that was owed at once did not come in time. */
        GIVEN_UP
    }

    private final boolean pushed;
    private final long quarter;
    private final Backoff broken;
    private final Backoff turnedAway;
    private final Backoff givenUp;

    private WatchPacing(boolean pushed, long quarter, Backoff broken, Backoff turnedAway, Backoff givenUp) {
        this.pushed = pushed;
        this.quarter = quarter;
        this.broken = broken;
        this.turnedAway = turnedAway;
        this.givenUp = givenUp;
    }

    /** For an agent on the own machine; {@code grace} is what the settings leave for sending to a host that was told to leave. */
    public static WatchPacing pushed(long grace, Random random) {
        long quarter = Math.max(GRACE_LEAST, Math.min(GRACE_MOST, grace > 0 ? grace : GRACE)) / 4;
        Backoff retries = new Backoff(random, AGAIN, quarter);
        return new WatchPacing(true, quarter, retries, retries, retries);
    }

    /**
     * For a service that so many proxies share, each of which would be sent so many lines. After each failure the next call comes
     * so soon that its answer can be there within {@link #COUNTS}, whenever in the failed call or the wait after it the service
     * could be reached again.
     */
    public static WatchPacing asked(int proxies, int lines, Random random) {
        JitteredBackoff jittered = new JitteredBackoff(proxies, lines, random);
        return new WatchPacing(
                false, 0, jittered.upTo(AGAIN_MOST), jittered.upTo(TURNED_AWAY_MOST), jittered.upTo(GIVEN_UP_MOST));
    }

    /** How long a call for changes is to be held; {@code sure} where the call before it was answered well. */
    public long held(boolean sure) {
        return pushed ? sure ? 2 * quarter : SIGN_OF_LIFE : sure ? HELD : HELD_UNSURE;
    }

    /** An answer that has not come by so long after the call is missing; {@code held} is 0 for a call for the whole list. */
    public long missingAfter(long held) {
        return pushed ? held + quarter : held > 0 ? held + LATE_HELD : LATE_WHOLE;
    }

    /** How long to wait after a call that failed; each further one in a row waits for longer. */
    public long retry(Failure why) {
        return switch (why) {
            case BROKEN -> broken.next();
            case TURNED_AWAY -> turnedAway.next();
            case GIVEN_UP -> givenUp.next();
        };
    }

    /** What a call whose answer is missing comes to; {@code held} as above. */
    public Failure missing(long held) {
        return held > 0 ? Failure.BROKEN : Failure.GIVEN_UP;
    }

    /** Whether a further call is made at once beside one whose answer is missing. */
    public boolean asksBeside() {
        return pushed;
    }

    /** How many calls may be out at once. */
    public int mostOut() {
        return pushed ? CALLS_OUT : 1;
    }

    /** An answer came that could be used. */
    public void answered() {
        broken.reset();
        turnedAway.reset();
        givenUp.reset();
    }
}
