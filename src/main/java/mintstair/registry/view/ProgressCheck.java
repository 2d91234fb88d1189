package mintstair.registry.view;

/**
 * One check whether a watch is alive and up to date. It passes once the view has reached the revision at which the
 * quorum stood when the check began. Not thread-safe.
 */
final class ProgressCheck {
    private static final long NONE = -1;

    private long startedAt = NONE;
    private long quorumRevision = NONE;
    private long lastSeenRevision;
    private boolean messageReceived;

    void start(long nowMicros, long revision) {
        startedAt = nowMicros;
        quorumRevision = NONE;
        lastSeenRevision = revision;
        messageReceived = false;
    }

    void stop() {
        startedAt = NONE;
    }

    boolean isRunning() {
        return startedAt >= 0;
    }

    boolean isOlderThan(long micros, long nowMicros) {
        return nowMicros >= startedAt + micros;
    }

    /** The watch sent something. */
    void recordMessage() {
        messageReceived = true;
    }

    void recordQuorum(long revision) {
        quorumRevision = revision;
    }

    long quorumRevision() {
        return quorumRevision;
    }

    boolean passes(long revision) {
        return isRunning() && isQuorumKnown() && revision >= quorumRevision;
    }

    /** Whether the member responds at all, be it by the watch or by the quorum's revision. */
    boolean isMemberResponding() {
        return messageReceived || isQuorumKnown();
    }

    /** Whether a view at this revision has come nearer to the quorum since the last call, or the start. */
    boolean advancedTo(long revision) {
        boolean advanced = isQuorumKnown() && revision > lastSeenRevision;
        lastSeenRevision = revision;
        return advanced;
    }

    private boolean isQuorumKnown() {
        return quorumRevision >= 0;
    }
}
