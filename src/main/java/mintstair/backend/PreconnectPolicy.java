package mintstair.backend;

/**
 * How many idle connections are opened ahead of need to each host (min idle). A request that waits for a handshake is
 * late by it, so there are two where the limit on connections permits. In a large fleet they would fill the limit, each
 * host's would evict another's, and each request would need a handshake after all.
 */
final class PreconnectPolicy {
    /** To each host where hosts are few. */
    static final int MAX_PER_HOST = 2;
    /** At most this share of the limit is used ahead of need. */
    private static final double SHARE_OF_LIMIT = 0.5;

    private PreconnectPolicy() {}

    /** Idle connections to each of {@code hosts} serving hosts, where {@code maxOpen} may be open to all of them. */
    static int perHost(int hosts, int maxOpen) {
        return (int) Math.min(MAX_PER_HOST, SHARE_OF_LIMIT * maxOpen / Math.max(1, hosts));
    }
}
