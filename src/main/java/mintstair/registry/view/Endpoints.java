package mintstair.registry.view;

import java.util.Arrays;
import java.util.Random;

/**
 * Which of a registry's endpoints to turn to. Each proxy goes through them in an order of its own, so that many which lose one
 * endpoint spread over the others. Endpoints that lag are passed over for a while, unless all do.
 */
final class Endpoints {
    private final int[] order;
    private final long[] lagsUntil;
    /** The cluster id that an endpoint last answered with; 0 for none yet. */
    private final long[] cluster;

    private int at;

    Endpoints(int count, Random random) {
        order = new int[count];
        lagsUntil = new long[count];
        cluster = new long[count];
        for (int i = 0; i < count; i++) {
            int j = random.nextInt(i + 1);
            order[i] = order[j];
            order[j] = i;
        }
    }

    int current() {
        return order[at];
    }

    /** Goes on to the next endpoint that is not known to lag, or to the one that lags the shortest time still. */
    void turn(long now) {
        int best = (at + 1) % order.length;
        for (int i = 1; i <= order.length; i++) {
            int candidate = (at + i) % order.length;
            if (rest(candidate, now) < rest(best, now)) {
                best = candidate;
            }
        }
        at = best;
    }

    private long rest(int place, long now) {
        return Math.max(0, lagsUntil[order[place]] - now);
    }

    void lags(long until) {
        lagsUntil[current()] = until;
    }

    /** The current endpoint answered as a member of this cluster. */
    void answeredAs(long id) {
        cluster[current()] = id;
    }

    /**
     * Whether most endpoints last answered as members of this cluster: one alone, which may have been set up wrongly or come up
     * empty, must not replace what the others hold.
     */
    boolean mostAre(long id) {
        return Arrays.stream(cluster).filter(c -> c == id).count() * 2 > order.length;
    }
}
