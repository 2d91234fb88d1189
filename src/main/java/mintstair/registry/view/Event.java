package mintstair.registry.view;

import java.util.List;

/** What the wire tells of a call that was ordered. Events of a call that is no longer wanted are ignored. */
public sealed interface Event {
    /** The number of the order that this belongs to. */
    long call();

    /** One page of a read: all its items, and whether more follow at the same revision. Read with the majority's agreement. */
    record Page(long call, Header header, List<Item> items, boolean more) implements Event {}

    /** The answer to a check: read with the majority's agreement, so its header is no lagging member's. */
    record Checked(long call, Header header) implements Event {}

    /** A watch has begun; the header is the answering member's own, which may lag. */
    record Watching(long call, Header header) implements Event {}

    /** Changes in the order of their revisions; {@code fragment} where further messages belong to the same ones. */
    record Batch(long call, Header header, List<Change> changes, boolean fragment) implements Event {}

    /** Nothing is missing up to the header's revision. */
    record Progress(long call, Header header) implements Event {}

    /** Where the majority stands, asked for as a sign of life of a watch: the watch itself must show as much soon. */
    record Reached(long call, Header header) implements Event {}

    /** A whole list from a blocking read: all that there is at this index; {@code sure} where a leader is known to stand behind it. */
    record Whole(long call, long index, List<Item> items, boolean sure) implements Event {}

    /** The revision asked for is no longer kept. */
    record Compacted(long call) implements Event {}

    /** The call ended without what it was for; {@code why} is one line for people. */
    record Ended(long call, Reason reason, String why) implements Event {}

    /** Why a call ended. */
    enum Reason {
        /** The connection was refused, broke, or ended in the middle of a message. */
        BROKEN,
        /** Nothing was heard in time. */
        SILENT,
        /** The member knows no leader: the majority is lost, or it is cut off. */
        NO_LEADER,
        /** The server ended the watch of its own accord. */
        CANCELLED,
        /** The member has not reached the revision asked for. */
        LAGS,
        /** It belongs to another registry. */
        FOREIGN,
        /** Turned away: too many calls, or an inner fault. */
        BUSY,
        /** User, password, token or certificate do not do. */
        DENIED,
        /** What came is no message of the protocol, or breaks its promises. */
        MALFORMED
    }
}
