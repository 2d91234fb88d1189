package mintstair.decision;

/**
 * Records for each session the commit of its last answered write. Positions and times are in microseconds. Not safe for
 * use by several threads.
 */
final class SessionCommits {
    private final PositionClock positions;
    private final SessionTokens tokens;

    SessionCommits(PositionClock positions, SessionTokens tokens) {
        this.positions = positions;
        this.tokens = tokens;
    }

    /**
     * Records that a write was answered, whatever the settings say of sessions: later ones may require that it is
     * remembered. What the host reported must have been applied to the clock of positions before.
     *
     * @param appliedPosition the position that the host reported, or {@link Positions#UNKNOWN}
     * @param commitPosition a position at or after the commit by its report, or {@link Positions#UNKNOWN}
     */
    void writeAnswered(long now, InFlightRequest write, long appliedPosition, long commitPosition) {
        String session = write.request.session();
        if (session != null) {
            long commit = latestCommit(now, write.request.replicaSet(), appliedPosition, commitPosition);
            tokens.writeAnswered(now, session, commit);
        }
    }

    /**
     * Returns a position at or after the commit of an answered write, as early as is known. A host that reports the
     * commit imprecisely reports a span; the commit is not later than the present either, unless the span begins after
     * it, which shows that the clocks differ. If the host reported nothing, only the present is known.
     */
    private long latestCommit(long now, int replicaSet, long appliedPosition, long commitPosition) {
        long present = positions.latestCommit(replicaSet, now);
        if (commitPosition == Positions.UNKNOWN) {
            return present;
        }
        boolean clocksDiffer = present < appliedPosition;
        return clocksDiffer ? commitPosition : Math.min(present, commitPosition);
    }
}
