package mintstair.traffic;

import mintstair.time.WallClock;

/** Relates the time of a recording, the time since a replay began, and Unix time. For the replay's thread. */
public final class ReplayClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long recordingBeginMillis;
    private long beginNanos;
    private long beginUnixMillis;

    /** The recorded time with which the replay begins is in Unix nanoseconds. */
    ReplayClock(long recordingBeginNanos) {
        recordingBeginMillis = recordingBeginNanos / NANOS_PER_MILLI;
    }

    /** The replay begins now. */
    void start() {
        beginNanos = System.nanoTime();
        beginUnixMillis = WallClock.millis();
    }

    /** Nanoseconds since the replay began. */
    long nanos() {
        return System.nanoTime() - beginNanos;
    }

    /** Unix milliseconds now, by the clock that does not jump. */
    long unixMillis() {
        return toUnixMillis(nanos());
    }

    /** Unix milliseconds of a time since the replay began. */
    long toUnixMillis(long nanosSinceBegin) {
        return beginUnixMillis + nanosSinceBegin / NANOS_PER_MILLI;
    }

    /** A time of the recording, in Unix milliseconds, moved to the replay at normal speed. */
    long toReplayMillis(long recordedMillis) {
        return recordedMillis + beginUnixMillis - recordingBeginMillis;
    }
}
