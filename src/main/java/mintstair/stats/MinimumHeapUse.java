package mintstair.stats;

/**
 * The smallest heap use that was sampled since the last read. Where a garbage collection fell into that time, this is
 * close to the size of the live objects, else an upper bound of it; it must not grow over a long day. The heap is
 * sampled as the platform's memory beans, which report it exactly, take too long to start. Not safe for use by several
 * threads.
 */
public final class MinimumHeapUse {
    private static final long NONE = Long.MAX_VALUE;

    private long smallestBytes = NONE;

    /** Takes one sample: the bytes in use now, garbage included. */
    public void sample(long usedBytes) {
        smallestBytes = Math.min(smallestBytes, usedBytes);
    }

    /** Returns the smallest sample in bytes and begins anew; 0 where there was no sample since the last call. */
    public long getAndReset() {
        long smallest = smallestBytes == NONE ? 0 : smallestBytes;
        smallestBytes = NONE;
        return smallest;
    }
}
