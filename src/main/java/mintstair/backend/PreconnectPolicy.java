package mintstair.backend;

/**
 * How many idle connections are kept ready to each host; without I/O. A request that has to wait for a handshake comes
 * late by it, so two are kept where there is room. But what is kept for every host of a large fleet is taken from the
 * limit on all connections: past it each host's spare one pushes out another's, and each request pays for two handshakes.
 */
final class PreconnectPolicy {
    /** Kept ready to each host where hosts are few. */
    static final int READY = 2;
    /** Of all connections that may be open, this share may be idle spares; the rest is for requests. */
    private static final double SHARE = 0.5;

    private PreconnectPolicy() {}

    /** Spare connections to each of so many serving hosts, where at most {@code most} may be open to all of them. */
    static int each(int hosts, int most) {
        return (int) Math.min(READY, SHARE * most / Math.max(1, hosts));
    }
}
