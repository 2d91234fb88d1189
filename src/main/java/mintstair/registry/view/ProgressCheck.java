package mintstair.registry.view;

/**
 * Checks whether a watch is alive and up to date. A check passes once the view has reached the quorum's revision, which
 * is read after the check has started. Not thread-safe.
 */
final class ProgressCheck {
    private static final long NONE = -1;

    private long startedAt = NONE;
    private long quorumRevision = NONE;
    private long lastSeenRevision;
    private boolean messageReceived;

    /** Starts a check of a view that is at this revision. */
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

    /** Records that a message of the watch has been received. */
    void recordMessage() {
        messageReceived = true;
    }

    /** Records the quorum's revision, which the view must reach. */
    void recordQuorumRevision(long revision) {
        quorumRevision = revision;
    }

    long quorumRevision() {
        return quorumRevision;
    }

    /** Returns whether a check is running and a view at this revision passes it. */
    boolean passes(long revision) {
        return isRunning() && isQuorumKnown() && revision >= quorumRevision;
    }

    /** Returns whether the member has responded since the start, on the watch or with the quorum's revision. */
    boolean isMemberResponding() {
        return messageReceived || isQuorumKnown();
    }

    /** Returns whether the quorum's revision is known and the view's has increased since the last call or the start. */
    boolean advancedTo(long revision) {
        boolean advanced = isQuorumKnown() && revision > lastSeenRevision;
        lastSeenRevision = revision;
        return advanced;
    }

    private boolean isQuorumKnown() {
        return quorumRevision >= 0;
    }
}
