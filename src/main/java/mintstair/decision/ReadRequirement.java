package mintstair.decision;

/**
 * How recent a replica must be for a read.
 *
 * @param position the position that it must have reached
 * @param tolerance a replica that has not proven this is taken all the same if its last known lag is larger by this
 *     at most; 0 for none
 * @param trustedOnly whether only replicas count that are trusted to be alive
 */
record ReadRequirement(long position, long tolerance, boolean trustedOnly) {
    /** Later than any position: no replica has reached it. */
    static final long UNREACHABLE_POSITION = Long.MAX_VALUE / 4;
}
