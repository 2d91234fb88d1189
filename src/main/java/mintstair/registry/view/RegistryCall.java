package mintstair.registry.view;

/**
 * What the connection to the registry is to do. Each request has an id of its own. At most one is in progress at a
 * time: the view cancels the one before, unless that has ended.
 */
public sealed interface RegistryCall {
    /** The id of the request that this is, or that this is about. */
    long callId();

    /** A call that begins a request to one of the registry's servers, given by its index. */
    sealed interface Request extends RegistryCall {
        /** The index of the server, by the order of the configuration. */
        int server();
    }

    /**
     * Read, linearizably, at most {@code limit} entries from a key on, at {@code revision} or, for 0, at the newest.
     */
    record Read(long callId, int server, String fromKey, long revision, int limit) implements Request {}

    /** Read, linearizably, where the registry's history stands. */
    record ReadPosition(long callId, int server) implements Request {}

    /** Stream all changes from this revision on. */
    record Watch(long callId, int server, long startRevision) implements Request {}

    /**
     * Blocking query: read all entries once the registry's index is above this one, or at once for 0.
     *
     * @param consistent whether the read must be linearizable
     */
    record Poll(long callId, int server, long index, boolean consistent) implements Request {}

    /**
     * Have the request in progress show that it is alive. Of a watch: first where the quorum stands, then how far the
     * watch has come. Of a blocking query: whether its server knows a leader.
     */
    record RequestProgress(long callId) implements RegistryCall {}

    /** End the request; none of its events is used any more. */
    record Cancel(long callId) implements RegistryCall {}
}
