package mintstair.pcap;

/**
 * Chooses a share of the connections by a hash of their numbers, so that a connection is recorded whole or not at
 * all. Immutable; without I/O.
 */
public final class Sampler {
    private static final double UNIT_OF_53_BITS = 0x1.0p-53;

    private final long seed;
    private final double share;

    /**
     * Creates a sampler; those of the same seed choose the same connections.
     *
     * @param share of the connections, from 0 to 1
     * @throws IllegalArgumentException where the share is out of range
     */
    public Sampler(double share, long seed) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("the share must be from 0 to 1");
        }
        this.share = share;
        this.seed = seed;
    }

    /** Whether the connection of this number is recorded. */
    public boolean isSampled(long connectionNumber) {
        double uniform = (mix(seed + connectionNumber * 0x9E3779B97F4A7C15L) >>> 11) * UNIT_OF_53_BITS;
        return uniform < share;
    }

    /** The finalizer of SplitMix64, which spreads consecutive numbers. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
