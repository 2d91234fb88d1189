package mintstair.stats;

/**
 * The smallest sampled heap use since the last read. If a garbage collection ran in that period, the value is close to
 * the size of the live objects; otherwise it is an upper bound. A value that keeps growing over a day indicates a
 * memory leak. The heap is sampled because the JVM's memory beans, which report the exact size, take too long to
 * initialize. Not thread-safe.
 */
public final class MinimumHeapUse {
    private static final long NO_SAMPLE = Long.MAX_VALUE;

    private long smallestBytes = NO_SAMPLE;

    /** Records one sample: the bytes in use now, including garbage. */
    public void sample(long usedBytes) {
        smallestBytes = Math.min(smallestBytes, usedBytes);
    }

    /** Returns the smallest sample in bytes since the last call, or 0 if there was none, and resets the minimum. */
    public long getAndReset() {
        long smallest = smallestBytes == NO_SAMPLE ? 0 : smallestBytes;
        smallestBytes = NO_SAMPLE;
        return smallest;
    }
}
