package mintstair.registry.view;

/**
 * What the wire is to do next. Each call has a number of its own; at most one read, check, watch or poll is wanted at a time,
 * and an order for a new one comes after a {@link Cancel} of the one before, if that has not ended.
 */
public sealed interface Order {
    /** Read at most {@code limit} items from {@code from} on, at {@code revision}, or at the newest for 0; with the majority's agreement. */
    record Read(long call, int endpoint, String from, long revision, int limit) implements Order {}

    /** Ask where the history stands, with the majority's agreement. */
    record Check(long call, int endpoint) implements Order {}

    /** Watch all changes from this revision on. */
    record Watch(long call, int endpoint, long revision) implements Order {}

    /**
     * Ask for a sign of life: of a watch, first where the majority stands, then how far the watch has come; of a blocking read,
     * whether its endpoint knows a leader.
     */
    record AskProgress(long call) implements Order {}

    /** Read the whole list once it is newer than {@code index}, or at once for 0; {@code sure}: with the majority's agreement. */
    record Poll(long call, int endpoint, long index, boolean sure) implements Order {}

    /** Nothing more is wanted of this call. */
    record Cancel(long call) implements Order {}
}
