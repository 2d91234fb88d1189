package mintstair.serve;

import mintstair.front.Front;

/**
 * The number of file descriptors that one front may use: {@code clients} for client connections and {@code hosts} for
 * connections to database hosts.
 *
 * <p>Most descriptors are given to clients: those with a request in flight hold at most a third of all, but many more
 * stay connected between requests, and would reconnect at once if they were rejected. Connections to hosts need fewer,
 * as idle ones are closed when no descriptors are left for new ones.
 */
record DescriptorBudget(int clients, int hosts) {
    /** Descriptors that are reserved for the process itself: the jar, listeners, selectors, discovery. */
    static final int RESERVED = 40;

    private static final int MIN_CLIENTS = 8;
    private static final int MIN_HOSTS = 16;
    /** With fewer connections for each known host, requests rarely find an idle one. */
    private static final int CONNECTIONS_PER_HOST = 2;

    /**
     * Returns the budget of each front of a process.
     *
     * <p>If a successor may start beside this process, descriptors for the successor itself and for its connections to
     * hosts are reserved, as both processes share one limit. The share of the hosts grows with the number of known
     * hosts, up to a third of all descriptors, or up to a quarter if it is reserved twice, for the successor as well.
     *
     * @param descriptors the descriptor limit of the process
     * @param fronts the number of fronts that share the limit
     * @param upgradable whether a successor may run beside this process
     * @param knownHosts the number of hosts listed in the configuration
     */
    static DescriptorBudget of(int descriptors, int fronts, boolean upgradable, int knownHosts) {
        int perFront = descriptors / fronts;
        int defaultHosts = perFront / (upgradable ? 6 : 4);
        int maxHosts = perFront / (upgradable ? 4 : 3);
        int wantedHosts = Math.min(CONNECTIONS_PER_HOST * knownHosts, maxHosts);
        int hosts = Math.max(MIN_HOSTS, Math.max(defaultHosts, wantedHosts));
        int reserved = upgradable ? 2 * RESERVED : RESERVED;
        int available = (descriptors - reserved) / fronts - (upgradable ? hosts : 0);
        return new DescriptorBudget(maxClients(available, hosts), hosts);
    }

    /**
     * Returns the largest number of clients whose connections fit into the available descriptors, together with the
     * connections that are being rejected and those to hosts.
     */
    private static int maxClients(int available, int hosts) {
        int clients = Math.max(MIN_CLIENTS, (available - hosts) * 8 / 9);
        while (clients > MIN_CLIENTS && clients + Front.slack(clients) + hosts > available) {
            clients--;
        }
        return clients;
    }

    /** Returns the budget of a process that shares the descriptor limit with a predecessor, until that has drained. */
    DescriptorBudget besidePredecessor() {
        return new DescriptorBudget(clients / 2, hosts);
    }
}
