package mintstair.serve;

import mintstair.front.Front;

/**
 * How the descriptors of the configuration are shared out, for each front. Clients with requests hold at most a third of
 * them, but many more stay connected between requests: turned away, they would come again at once. Hosts' connections
 * find room for each other, as idle ones are closed for want of descriptors.
 */
record DescriptorBudget(int clients, int hosts) {
    /** Neither a client's nor a host's: the jar, listeners, selectors, discovery. */
    static final int OWN = 40;

    /**
     * Where a successor may start beside this process, its own descriptors and those to hosts are set aside for it. With many
     * hosts known, theirs become more, up to a third, or a quarter where they are set aside twice: with fewer than two to a
     * host, requests find no connection that is kept.
     */
    static DescriptorBudget of(int sockets, int fronts, boolean upgradable, int known) {
        int usual = sockets / fronts / (upgradable ? 6 : 4);
        int hosts = Math.max(16, Math.max(usual, Math.min(2 * known, sockets / fronts / (upgradable ? 4 : 3))));
        int each = (sockets - OWN - (upgradable ? OWN : 0)) / fronts - (upgradable ? hosts : 0);
        int clients = Math.max(8, (each - hosts) * 8 / 9);
        while (clients > 8 && clients + Front.slack(clients) + hosts > each) {
            clients--;
        }
        return new DescriptorBudget(clients, hosts);
    }
}
