package mintstair.stats;

import java.util.Locale;
import mintstair.request.Answer;
import mintstair.request.ConnectionEnd;

/** What the proxy took in, sent and answered since its start; kept on the loop. */
public final class Counters {
    public long taken;
    public long sent;
    public long probes;
    public long served;
    public long refused;
    public long failed;
    public long abandoned;
    public long overdue;
    public long malformed;
    public long clientsOpened;
    public long clientsTurnedAway;
    public long clientsIdledOut;
    public long hostsOpened;
    private final long[] ends = new long[ConnectionEnd.values().length];

    public void ended(ConnectionEnd end) {
        ends[end.ordinal()]++;
    }

    public void answered(Answer answer) {
        if (answer instanceof Answer.Served) {
            served++;
        } else if (answer instanceof Answer.Refused) {
            refused++;
        } else {
            failed++;
        }
    }

    /** One line, names and values. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder("taken=" + taken + " served=" + served + " refused=" + refused
            + " failed=" + failed + " abandoned=" + abandoned + " overdue=" + overdue + " malformed=" + malformed
            + " sent=" + sent + " probes=" + probes + " client_connections=" + clientsOpened
            + " clients_turned_away=" + clientsTurnedAway
            + " clients_idled_out=" + clientsIdledOut + " host_connections=" + hostsOpened);
        for (ConnectionEnd end : ConnectionEnd.values()) {
            line.append(" ended_").append(end.name().toLowerCase(Locale.ROOT)).append('=')
                .append(ends[end.ordinal()]);
        }
        return line.toString();
    }
}
