package mintstair.stats;

/**
 * The least of the heap that was seen in use since it was last taken: close to what is alive where a collection fell into that
 * time, a bound from above on it otherwise. It is what must stay flat over a long day. Sampled, as the virtual machine's beans
 * that tell it exactly cost a start of their own, on the loop. Kept on the loop.
 */
public final class HeapFloor {
    private long least = Long.MAX_VALUE;

    /**
     * Takes a sample in.
     *
     * @param used bytes in use now, garbage included
     */
    public void sample(long used) {
        least = Math.min(least, used);
    }

    /** Bytes; 0 where nothing was sampled since the last call. */
    public long take() {
        long taken = least == Long.MAX_VALUE ? 0 : least;
        least = Long.MAX_VALUE;
        return taken;
    }
}
