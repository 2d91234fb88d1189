package mintstair.serve;

import mintstair.front.Front;

/**
 * How the descriptors of the configuration are shared out, for each front. Clients with requests hold at most a third of
 * them, but many more stay connected between requests: turned away, they would come again at once. Hosts' connections
 * find room for each other, as idle ones are closed for want of descriptors.
 */
record Descriptors(int clients, int hosts) {
    /** Neither a client's nor a host's: the jar, listeners, selectors, discovery. */
    static final int OWN = 40;

    static Descriptors of(int sockets, int fronts) {
        int each = (sockets - OWN) / fronts;
        int hosts = Math.max(16, sockets / fronts / 4);
        int clients = Math.max(8, (each - hosts) * 8 / 9);
        while (clients > 8 && clients + Front.slack(clients) + hosts > each) {
            clients--;
        }
        return new Descriptors(clients, hosts);
    }
}
