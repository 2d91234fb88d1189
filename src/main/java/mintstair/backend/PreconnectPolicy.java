package mintstair.backend;

/**
 * Determines how many preconnected idle connections are kept to each host. A handshake delays the request that waits
 * for it, so two connections are kept if the limit on open connections permits. In a large fleet they would exhaust the
 * limit and evict each other, and each request would need a handshake after all.
 */
final class PreconnectPolicy {
    /** The number of preconnected connections to each host if the limit on open connections permits. */
    static final int MAX_PER_HOST = 2;
    /** The share of the limit on open connections that preconnected connections may use. */
    private static final double SHARE_OF_LIMIT = 0.5;

    private PreconnectPolicy() {}

    /**
     * Returns the number of preconnected connections to each host.
     *
     * @param hosts the number of serving hosts
     * @param maxOpen the maximum number of open connections to all hosts together
     */
    static int perHost(int hosts, int maxOpen) {
        return (int) Math.min(MAX_PER_HOST, SHARE_OF_LIMIT * maxOpen / Math.max(1, hosts));
    }
}
