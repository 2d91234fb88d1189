package mintstair.decision;

/**
 * How recent a replica must be for a read. Values are in microseconds.
 *
 * @param position the position that the replica must have reached
 * @param tolerance a replica that is not proven to have reached the position is eligible if its last known lag exceeds
 *     the allowed lag by at most this; 0 if only proven replicas are eligible
 * @param trustedOnly whether only replicas that are trusted to be alive are eligible
 */
record ReadRequirement(long position, long tolerance, boolean trustedOnly) {
    /** A position that no replica ever reaches. */
    static final long UNREACHABLE_POSITION = Long.MAX_VALUE / 4;
}
