package mintstair.traffic;

/** Which replication position a replayed request asks for. */
@FunctionalInterface
public interface PositionToken {
    /** Of a request that asks for none. */
    long NO_POSITION = -1;

    /** The request asks for no position. */
    PositionToken NONE = (recorded, clock) -> NO_POSITION;

    /** The request asks for the recorded position, moved on by the time between recording and replay. */
    PositionToken RECORDED =
            (recorded, clock) -> Math.min(clock.unixMillis(), clock.toReplayMillis(recorded.minimumPositionMillis()));

    /**
     * The request asks for what a write of its session has written in the replay.
     *
     * @param answeredNanos when the response to the write came, since the replay began
     */
    record AfterWrite(long answeredNanos) implements PositionToken {
        @Override
        public long toUnixMillis(RecordedExchange recorded, ReplayClock clock) {
            return clock.toUnixMillis(answeredNanos) + 1;
        }
    }

    /** The position in Unix milliseconds, or {@link #NO_POSITION}. */
    long toUnixMillis(RecordedExchange recorded, ReplayClock clock);
}
