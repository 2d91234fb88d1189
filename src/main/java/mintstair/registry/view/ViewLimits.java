package mintstair.registry.view;

/**
 * The bounds of a view. Longer keys and values count as unreadable; hosts beyond the number or the bytes of all entries
 * are left out and counted; a transaction beyond its bytes is dropped, and all entries are read again.
 */
public record ViewLimits(
        int maxKeyBytes,
        int maxValueBytes,
        int maxSettingsBytes,
        int maxHosts,
        long maxTotalBytes,
        long maxTransactionBytes) {
    /** For some thousands of hosts with values of some hundred bytes. */
    public static final ViewLimits DEFAULT = new ViewLimits(512, 16 << 10, 256 << 10, 20_000, 32L << 20, 16L << 20);
}
