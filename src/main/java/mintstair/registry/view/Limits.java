package mintstair.registry.view;

/**
 * The bounds of a view. Keys and values beyond theirs count as unreadable; hosts beyond their number or all bytes are not taken
 * in, and counted; a transaction beyond its bytes is given up and everything is read anew.
 */
public record Limits(int keyBytes, int valueBytes, int settingsBytes, int hosts, long allBytes, long batchBytes) {
    /** For some thousands of hosts with entries of some hundred bytes. */
    public static final Limits USUAL = new Limits(512, 16 << 10, 256 << 10, 20_000, 32L << 20, 16L << 20);
}
