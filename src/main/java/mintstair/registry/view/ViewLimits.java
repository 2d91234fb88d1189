package mintstair.registry.view;

/**
 * The limits of a view. Entries with longer keys or values are rejected as invalid. Hosts beyond the maximum number, or
 * the maximum total size of all entries, are left out and counted. A transaction beyond its limit is dropped, and all
 * entries are read again.
 */
public record ViewLimits(
        int maxKeyBytes,
        int maxValueBytes,
        int maxSettingsBytes,
        int maxHosts,
        long maxTotalBytes,
        long maxTransactionBytes) {
    /** Limits for several thousand hosts with values of some hundred bytes each. */
    public static final ViewLimits DEFAULT = new ViewLimits(512, 16 << 10, 256 << 10, 20_000, 32L << 20, 16L << 20);
}
