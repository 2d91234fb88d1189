package mintstair.pcap;

/** Which connections are recorded, whole or not at all: a share of them, by a hash of their number, without I/O. */
public final class Sampler {
    private final long seed;
    private final double share;

    /** {@code share} is from 0 to 1. */
    public Sampler(double share, long seed) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("the share must be from 0 to 1");
        }
        this.share = share;
        this.seed = seed;
    }

    /** Whether the connection of this number is taken; the same for the same seed. */
    public boolean takes(long number) {
        // The finalizer of SplitMix64 spreads numbers that follow each other.
        long z = seed + number * 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        z ^= z >>> 31;
        return (z >>> 11) * 0x1.0p-53 < share;
    }
}
