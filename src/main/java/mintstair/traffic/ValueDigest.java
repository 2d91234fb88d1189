package mintstair.traffic;

/** FNV-1a of 64 bits, equal for equal bytes in any run of the program. */
final class ValueDigest {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private ValueDigest() {}

    static long of(byte[] bytes) {
        return update(OFFSET_BASIS, bytes, 0);
    }

    /** The digest of the bytes from {@code from} on. */
    static long of(byte[] bytes, int from) {
        return update(OFFSET_BASIS, bytes, from);
    }

    /** The digest of what {@code digest} covers, followed by these bytes. */
    static long append(long digest, byte[] bytes) {
        // A digest of 0 means that there is none, and so begins anew.
        return update(digest == 0 ? OFFSET_BASIS : digest, bytes, 0);
    }

    private static long update(long digest, byte[] bytes, int from) {
        long hash = digest;
        for (int i = from; i < bytes.length; i++) {
            hash = (hash ^ Byte.toUnsignedLong(bytes[i])) * PRIME;
        }
        return hash;
    }
}
