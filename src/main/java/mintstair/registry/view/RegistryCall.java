package mintstair.registry.view;

/**
 * An instruction of a view to the connection to the registry. Each request has a unique id. At most one request is in
 * progress at a time: before a new one, the view cancels the previous one unless it has ended.
 */
public sealed interface RegistryCall {
    /** Returns the id of this request, or of the request that this instruction refers to. */
    long callId();

    /** An instruction to send a request to one of the registry's servers. */
    sealed interface Request extends RegistryCall {
        /** Returns the index of the server in the configured order. */
        int server();
    }

    /**
     * Reads at most {@code limit} entries, linearizably.
     *
     * @param fromKey the first key to read
     * @param revision the revision to read at; 0 for the newest
     */
    record Read(long callId, int server, String fromKey, long revision, int limit) implements Request {}

    /** Reads the registry's current position, linearizably. */
    record ReadPosition(long callId, int server) implements Request {}

    /** Streams all changes from this revision on. */
    record Watch(long callId, int server, long startRevision) implements Request {}

    /**
     * Sends a blocking query: reads all entries as soon as the registry's index exceeds this one.
     *
     * @param index the index to exceed; 0 to read immediately
     * @param consistent whether the read must be linearizable
     */
    record Poll(long callId, int server, long index, boolean consistent) implements Request {}

    /**
     * Requests a sign that the request in progress is alive. A watch is answered with the quorum's position and then
     * with the revision up to which the watch is complete, a blocking query with whether its server has a leader.
     */
    record RequestProgress(long callId) implements RegistryCall {}

    /** Cancels the request; further events of it are ignored. */
    record Cancel(long callId) implements RegistryCall {}
}
