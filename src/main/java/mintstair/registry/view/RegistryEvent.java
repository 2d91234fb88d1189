package mintstair.registry.view;

import java.util.List;

/** An event of a call, as reported by the connection. Events of a call that is no longer in progress are ignored. */
public sealed interface RegistryEvent {
    /** Returns the id of the call that this event belongs to. */
    long callId();

    /**
     * One page of a linearizable read.
     *
     * @param more whether the registry has further entries after this page at the same revision
     */
    record Page(long callId, RegistryPosition position, List<RegistryEntry> entries, boolean more)
            implements RegistryEvent {}

    /**
     * The response to {@link RegistryCall.ReadPosition}. The read is linearizable, so this is not the position of a
     * member that lags.
     */
    record PositionRead(long callId, RegistryPosition position) implements RegistryEvent {}

    /** A watch has been created. The position is that of the responding member, which may lag. */
    record WatchCreated(long callId, RegistryPosition position) implements RegistryEvent {}

    /**
     * Changes in ascending order of revision.
     *
     * @param fragment whether further messages continue the same revision
     */
    record Changes(long callId, RegistryPosition position, List<EntryChange> changes, boolean fragment)
            implements RegistryEvent {}

    /** A watch has reported all changes up to the position, or the server of a blocking query has a leader. */
    record Progress(long callId, RegistryPosition position) implements RegistryEvent {}

    /** The quorum's position, read to check a watch, which must reach it before its deadline. */
    record QuorumPosition(long callId, RegistryPosition position) implements RegistryEvent {}

    /**
     * The response to a blocking query: all entries at this index.
     *
     * @param leaderConfirmed whether the response confirms that the server is in contact with a leader
     */
    record FullList(long callId, long index, List<RegistryEntry> entries, boolean leaderConfirmed)
            implements RegistryEvent {}

    /** The requested revision has been compacted away. */
    record Compacted(long callId) implements RegistryEvent {}

    /**
     * The call has failed.
     *
     * @param detail one line for the log
     */
    record CallFailed(long callId, Reason reason, String detail) implements RegistryEvent {}

    /** Why a call failed. */
    enum Reason {
        /** The connection was refused, was lost, or ended within a message. */
        BROKEN("broken"),
        /** No message was received before the deadline. */
        SILENT("silent"),
        /** The member has no leader: the quorum is lost, or the member is separated from it by a network partition. */
        NO_LEADER("no_leader"),
        /** The server cancelled the watch, or the revision of a read was compacted. */
        CANCELLED("cancelled"),
        /** The member has not reached the requested revision. */
        LAGS("lags"),
        /** The member belongs to another registry. */
        FOREIGN("foreign"),
        /** The server is overloaded or has an internal error. */
        BUSY("busy"),
        /** The user, password, token or certificate was not accepted. */
        DENIED("denied"),
        /** The response violates the protocol. */
        MALFORMED("malformed");

        private final String metricName;

        Reason(String metricName) {
            this.metricName = metricName;
        }

        /** Returns the suffix of the metric {@code breaks_...} that counts this reason. */
        String metricName() {
            return metricName;
        }
    }
}
