package mintstair.serve;

import mintstair.front.Front;

/**
 * How many of the process's file descriptors one front may use: {@code clients} connections of clients and {@code
 * hosts} connections to database hosts.
 *
 * <p>Clients with a request in flight hold at most a third of the descriptors, but many more stay connected between
 * requests; rejected, those would reconnect at once. Connections to hosts make room for each other, as idle ones are
 * closed for want of descriptors.
 */
record DescriptorBudget(int clients, int hosts) {
    /** Descriptors of the process itself: the jar, listeners, selectors, discovery. */
    static final int RESERVED = 40;

    private static final int MIN_CLIENTS = 8;
    private static final int MIN_HOSTS = 16;
    /** Connections to each known host, below which requests rarely find an idle one. */
    private static final int CONNECTIONS_PER_HOST = 2;

    /**
     * Divides the descriptors of one process.
     *
     * <p>Where a successor may start beside this process, the successor's own descriptors and its connections to
     * hosts are set aside, as both processes share one limit. With many hosts known the part of the hosts grows, up
     * to a third of all, or to a quarter where it is set aside twice.
     *
     * @param descriptors the process's limit
     * @param fronts how many fronts share it
     * @param upgradable whether a successor may run beside this process
     * @param knownHosts hosts listed in the configuration
     */
    static DescriptorBudget of(int descriptors, int fronts, boolean upgradable, int knownHosts) {
        int perFront = descriptors / fronts;
        int usualHosts = perFront / (upgradable ? 6 : 4);
        int maxHosts = perFront / (upgradable ? 4 : 3);
        int wantedHosts = Math.min(CONNECTIONS_PER_HOST * knownHosts, maxHosts);
        int hosts = Math.max(MIN_HOSTS, Math.max(usualHosts, wantedHosts));
        int reserved = upgradable ? 2 * RESERVED : RESERVED;
        int available = (descriptors - reserved) / fronts - (upgradable ? hosts : 0);
        return new DescriptorBudget(clientsWithin(available, hosts), hosts);
    }

    /**
     * The most clients whose connections, with the slack for those that are being rejected, fit beside those to
     * hosts.
     */
    private static int clientsWithin(int available, int hosts) {
        int clients = Math.max(MIN_CLIENTS, (available - hosts) * 8 / 9);
        while (clients > MIN_CLIENTS && clients + Front.slack(clients) + hosts > available) {
            clients--;
        }
        return clients;
    }

    /** The budget of a process that starts beside its predecessor: until that has drained, both share one limit. */
    DescriptorBudget besidePredecessor() {
        return new DescriptorBudget(clients / 2, hosts);
    }
}
