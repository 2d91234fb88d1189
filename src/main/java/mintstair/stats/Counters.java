package mintstair.stats;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.Response;

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
    /** Of those, the ones opened ahead of need, and the ones that did not come up. */
    public long hostsSpare;

    public long hostsNotUp;
    /** Calls to discovery, and those that it turned away, broke off or did not answer. */
    public long listCalls;

    public long listCallsFailed;
    /** Attempts whose last byte was written to a host; counted where that happens, on any thread. */
    public final AtomicLong written = new AtomicLong();
    /** Connections closed at once, as more came than could be told that there is no room. */
    public final AtomicLong shutOut = new AtomicLong();

    public long reloadsOk;
    public long reloadsFailed;
    /** Served, refused and failed of each class; of one that was dropped they stay. */
    private final Map<String, long[]> classes = new LinkedHashMap<>();

    private final long[] ends = new long[ConnectionEnd.values().length];
    private final long[] heldBack = new long[AttemptVerdict.values().length];
    private final Map<String, Long> rulesBroken = new LinkedHashMap<>();
    private final Map<String, Long> clientsEnded = new TreeMap<>();
    private final Map<String, Long> retried = new TreeMap<>();

    public void ended(ConnectionEnd end) {
        ends[end.ordinal()]++;
    }

    /** An attempt that was decided on did not begin, for this reason. */
    public void heldBack(AttemptVerdict why) {
        heldBack[why.ordinal()]++;
    }

    /** A client's connection ended, for this reason. */
    public void clientEnded(Enum<?> why) {
        clientsEnded.merge(name(why), 1L, Long::sum);
    }

    /** A further attempt for a request was sent, after one that ended so, or beside one that is out where that is null. */
    public void retried(ConnectionEnd after) {
        retried.merge(after == null ? "beside_another" : name(after), 1L, Long::sum);
    }

    /** A rule was found broken: a fault of the program. */
    public void ruleBroken(String rule) {
        rulesBroken.merge(rule, 1L, Long::sum);
    }

    /** The class is there to be asked for, with nothing counted yet. */
    public void knows(String requestClass) {
        classes.computeIfAbsent(requestClass, name -> new long[3]);
    }

    public void answered(String requestClass, Response answer) {
        long[] ofClass = classes.computeIfAbsent(requestClass, name -> new long[3]);
        if (answer instanceof Response.Served) {
            served++;
            ofClass[0]++;
        } else if (answer instanceof Response.Rejected) {
            refused++;
            ofClass[1]++;
        } else {
            failed++;
            ofClass[2]++;
        }
    }

    /** Adds these to the figures that are told on the second address. */
    public void addTo(MetricsSnapshot.Builder metrics) {
        classes.forEach((name, counts) -> metrics.add("served." + name, counts[0])
                .add("refused." + name, counts[1])
                .add("failed." + name, counts[2]));
        metrics.add("attempts", written.get());
        metrics.add(
                "rules_broken",
                rulesBroken.values().stream().mapToLong(Long::longValue).sum());
        rulesBroken.forEach((rule, count) -> metrics.add("rule_broken." + rule, count));
        clientsEnded.forEach((why, count) -> metrics.add("clients_ended." + why, count));
        retried.forEach((after, count) -> metrics.add("retried_after." + after, count));
        for (AttemptVerdict why : AttemptVerdict.values()) {
            if (why != AttemptVerdict.MAY_BEGIN) {
                metrics.add("held_back." + name(why), heldBack[why.ordinal()]);
            }
        }
        metrics.add("reloads_ok", reloadsOk).add("reloads_failed", reloadsFailed);
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** One line, names and values. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder("taken=" + taken + " served=" + served + " refused=" + refused
                + " failed=" + failed + " abandoned=" + abandoned + " overdue=" + overdue + " malformed=" + malformed
                + " sent=" + sent + " probes=" + probes + " client_connections=" + clientsOpened
                + " clients_turned_away=" + clientsTurnedAway
                + " clients_shut_out=" + shutOut + " clients_idled_out=" + clientsIdledOut + " host_connections="
                + hostsOpened
                + " host_connections_spare=" + hostsSpare + " host_connections_not_up=" + hostsNotUp
                + " list_calls=" + listCalls + " list_calls_failed=" + listCallsFailed);
        for (ConnectionEnd end : ConnectionEnd.values()) {
            line.append(" ended_").append(name(end)).append('=').append(ends[end.ordinal()]);
        }
        for (AttemptVerdict why : AttemptVerdict.values()) {
            if (why != AttemptVerdict.MAY_BEGIN) {
                line.append(" held_back_").append(name(why)).append('=').append(heldBack[why.ordinal()]);
            }
        }
        line.append(" clients_ended=")
                .append(clientsEnded)
                .append(" retried_after=")
                .append(retried);
        line.append(" rules_broken=").append(rulesBroken);
        return line.toString();
    }
}
