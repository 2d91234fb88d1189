package mintstair.registry.view;

import java.util.List;

/** What the connection reports of a call. Events of a call that is not in progress any more are ignored. */
public sealed interface RegistryEvent {
    /** The id of the call that this belongs to. */
    long callId();

    /** One page of a linearizable read; {@code more} where further entries follow at the same revision. */
    record Page(long callId, RegistryPosition position, List<RegistryEntry> entries, boolean more)
            implements RegistryEvent {}

    /**
     * The response to {@link RegistryCall.ReadPosition}; linearizable, so it is not the position of a lagging member.
     */
    record PositionRead(long callId, RegistryPosition position) implements RegistryEvent {}

    /** A watch has begun; the position is the responding member's own, which may lag. */
    record WatchCreated(long callId, RegistryPosition position) implements RegistryEvent {}

    /** Changes by ascending revision; {@code fragment} where further messages continue the same revision. */
    record Changes(long callId, RegistryPosition position, List<EntryChange> changes, boolean fragment)
            implements RegistryEvent {}

    /** A watch has reported all changes up to the position; the server of a blocking query knows a leader. */
    record Progress(long callId, RegistryPosition position) implements RegistryEvent {}

    /** Where the quorum stands, read to check a watch: the watch must soon have come as far. */
    record QuorumPosition(long callId, RegistryPosition position) implements RegistryEvent {}

    /**
     * The response to a blocking query: all entries at this index.
     *
     * @param leaderConfirmed whether the server is known to be in contact with a leader
     */
    record FullList(long callId, long index, List<RegistryEntry> entries, boolean leaderConfirmed)
            implements RegistryEvent {}

    /** The requested revision has been compacted away. */
    record Compacted(long callId) implements RegistryEvent {}

    /** The call failed; {@code detail} is one line for the log. */
    record CallFailed(long callId, Reason reason, String detail) implements RegistryEvent {}

    /** Why a call failed. */
    enum Reason {
        /** The connection was refused, was lost, or ended in the middle of a message. */
        BROKEN("broken"),
        /** No message in time. */
        SILENT("silent"),
        /** The member knows no leader: the quorum is lost, or the member is partitioned off. */
        NO_LEADER("no_leader"),
        /** The server ended the watch. */
        CANCELLED("cancelled"),
        /** The member has not reached the requested revision. */
        LAGS("lags"),
        /** The member belongs to another registry. */
        FOREIGN("foreign"),
        /** The server is overloaded or has an internal error. */
        BUSY("busy"),
        /** User, password, token or certificate were not accepted. */
        DENIED("denied"),
        /** The response violates the protocol. */
        MALFORMED("malformed");

        private final String metricName;

        Reason(String metricName) {
            this.metricName = metricName;
        }

        /** The name in metrics, after {@code breaks_}. */
        String metricName() {
            return metricName;
        }
    }
}
