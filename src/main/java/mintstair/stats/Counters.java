package mintstair.stats;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.GiveUpReason;
import mintstair.request.Response;

/**
 * Counts events since the start of the process, for one protocol. Every value is a number of events. Everything here is
 * read and written on the event loop only, but for the fields of type {@link AtomicLong}, which any thread may use.
 *
 * <p>Fields are counted by the part that sees the event; they are public, as each is incremented at one or two places.
 */
public final class Counters {
    /** Stands in metric names for the end that a retry followed, where the attempt before it is still out. */
    private static final String BESIDE_ANOTHER = "beside_another";

    /** Messages of clients that were no valid request, so that the connection was closed or an error returned. */
    public long malformedMessages;
    /** Client connections that were opened. */
    public long clientConnectionsOpened;
    /** Client connections that were closed with an error message, as descriptors were short. */
    public long clientConnectionsRejected;
    /** Client connections that were closed between two requests, as descriptors were short. */
    public long idleClientConnectionsEvicted;
    /** Client connections that were closed at once and without a message, as too many came together. Any thread. */
    public final AtomicLong clientConnectionsDropped = new AtomicLong();
    /** Connections to hosts that were begun. */
    public long hostConnectionsOpened;
    /** Of {@link #hostConnectionsOpened}, those that were begun before an attempt needed them. */
    public long hostConnectionsPreconnected;
    /** Of {@link #hostConnectionsOpened}, those that failed before they were ready. */
    public long hostConnectionsFailed;
    /** Attempts whose last byte was written to a host. Any thread. */
    public final AtomicLong attemptsWritten = new AtomicLong();
    /** Calls to service discovery. */
    public long discoveryCalls;
    /** Of {@link #discoveryCalls}, those that were rejected, broke or had no reply. */
    public long discoveryCallsFailed;
    /** Reloads of the settings that succeeded. */
    public long reloadsSucceeded;
    /** Reloads of the settings that failed; the settings before them stayed. */
    public long reloadsFailed;

    private long requestsAccepted;
    private long requestsAbandoned;
    private long requestsOverdue;
    private long attemptsSent;
    private long healthChecksSent;
    private final long[] responses = newResponseCounts();
    /** Responses of each request class, by the ordinal of their kind; those of a class that was removed stay. */
    private final Map<String, long[]> responsesByClass = new LinkedHashMap<>();

    private final long[] attemptEnds = new long[ConnectionEnd.values().length];
    private final long[] attemptsHeldBack = new long[AttemptVerdict.values().length];
    private final Map<String, Long> invariantViolations = new LinkedHashMap<>();
    private final Map<String, Long> clientsEnded = new TreeMap<>();
    private final Map<String, Long> retriesByPreviousEnd = new TreeMap<>();
    private final Map<String, Long> givenUp = new TreeMap<>();

    private static long[] newResponseCounts() {
        return new long[Response.Kind.values().length];
    }

    /** A request was accepted. */
    public void requestAccepted() {
        requestsAccepted++;
    }

    /** How many requests were accepted. */
    public long requestsAccepted() {
        return requestsAccepted;
    }

    /** A client left before its answer. */
    public void requestAbandoned() {
        requestsAbandoned++;
    }

    /** Requests whose clients disconnected before their response. */
    public long requestsAbandoned() {
        return requestsAbandoned;
    }

    /** A request had no answer when its deadline had passed, and was failed by its guard. */
    public void requestOverdue() {
        requestsOverdue++;
    }

    /** An attempt was handed to the connections. */
    public void attemptSent() {
        attemptsSent++;
    }

    /** How many attempts were handed to the connections. */
    public long attemptsSent() {
        return attemptsSent;
    }

    /** An attempt that was handed to the connections has ended. */
    public void attemptEnded(ConnectionEnd end) {
        attemptEnds[end.ordinal()]++;
    }

    /** An attempt that was decided on did not begin, for this reason. */
    public void attemptHeldBack(AttemptVerdict reason) {
        attemptsHeldBack[reason.ordinal()]++;
    }

    /**
     * A further attempt for a request was sent.
     *
     * @param previousEnd how the attempt before it ended; null where an earlier attempt is still out
     */
    public void retrySent(ConnectionEnd previousEnd) {
        increment(retriesByPreviousEnd, previousEnd == null ? BESIDE_ANOTHER : metricName(previousEnd));
    }

    /** A health check was sent. */
    public void healthCheckSent() {
        healthChecksSent++;
    }

    /** A client's connection ended, for this reason. */
    public void clientConnectionClosed(Enum<?> reason) {
        increment(clientsEnded, metricName(reason));
    }

    /** A request was rejected or failed without a host's answer, for this reason. */
    public void requestGivenUp(GiveUpReason reason) {
        increment(givenUp, metricName(reason));
    }

    /** An invariant was violated, which is a fault of the program. */
    public void invariantViolated(String rule) {
        increment(invariantViolations, rule);
    }

    /** Adds a request class with nothing counted yet, so that its metrics exist from the start. */
    public void addRequestClass(String requestClass) {
        responsesOf(requestClass);
    }

    /** A request of this class had its final answer. */
    public void requestCompleted(String requestClass, Response response) {
        int kind = response.kind().ordinal();
        responses[kind]++;
        responsesOf(requestClass)[kind]++;
    }

    private long[] responsesOf(String requestClass) {
        return responsesByClass.computeIfAbsent(requestClass, name -> newResponseCounts());
    }

    private static void increment(Map<String, Long> counts, String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Adds what is published on the control address. */
    public void addTo(MetricsSnapshot.Builder metrics) {
        responsesByClass.forEach((name, counts) -> metrics.add("served." + name, count(counts, Response.Kind.SERVED))
                .add("refused." + name, count(counts, Response.Kind.REJECTED))
                .add("failed." + name, count(counts, Response.Kind.FAILED)));
        metrics.add("attempts", attemptsWritten.get());
        metrics.add("rules_broken", sum(invariantViolations));
        invariantViolations.forEach((rule, count) -> metrics.add("rule_broken." + rule, count));
        clientsEnded.forEach((reason, count) -> metrics.add("clients_ended." + reason, count));
        retriesByPreviousEnd.forEach((end, count) -> metrics.add("retried_after." + end, count));
        givenUp.forEach((reason, count) -> metrics.add("given_up." + reason, count));
        for (AttemptVerdict reason : AttemptVerdict.values()) {
            if (reason != AttemptVerdict.MAY_BEGIN) {
                metrics.add("held_back." + metricName(reason), attemptsHeldBack[reason.ordinal()]);
            }
        }
        metrics.add("reloads_ok", reloadsSucceeded).add("reloads_failed", reloadsFailed);
    }

    private static long count(long[] counts, Response.Kind kind) {
        return counts[kind.ordinal()];
    }

    private static long sum(Map<String, Long> counts) {
        long sum = 0;
        for (long count : counts.values()) {
            sum += count;
        }
        return sum;
    }

    private static String metricName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /**
     * One line of names and values, for the clients' counter commands and the log; its form is read by other programs.
     */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder();
        appendRequests(line);
        appendConnections(line);
        appendAttempts(line);
        line.append(" clients_ended=").append(clientsEnded);
        line.append(" retried_after=").append(retriesByPreviousEnd);
        line.append(" rules_broken=").append(invariantViolations);
        line.append(" given_up=").append(givenUp);
        return line.toString();
    }

    private void appendRequests(StringBuilder line) {
        line.append("taken=").append(requestsAccepted);
        line.append(" served=").append(count(responses, Response.Kind.SERVED));
        line.append(" refused=").append(count(responses, Response.Kind.REJECTED));
        line.append(" failed=").append(count(responses, Response.Kind.FAILED));
        line.append(" abandoned=").append(requestsAbandoned);
        line.append(" overdue=").append(requestsOverdue);
        line.append(" malformed=").append(malformedMessages);
        line.append(" sent=").append(attemptsSent);
        line.append(" probes=").append(healthChecksSent);
    }

    private void appendConnections(StringBuilder line) {
        line.append(" client_connections=").append(clientConnectionsOpened);
        line.append(" clients_turned_away=").append(clientConnectionsRejected);
        line.append(" clients_shut_out=").append(clientConnectionsDropped);
        line.append(" clients_idled_out=").append(idleClientConnectionsEvicted);
        line.append(" host_connections=").append(hostConnectionsOpened);
        line.append(" host_connections_spare=").append(hostConnectionsPreconnected);
        line.append(" host_connections_not_up=").append(hostConnectionsFailed);
        line.append(" list_calls=").append(discoveryCalls);
        line.append(" list_calls_failed=").append(discoveryCallsFailed);
    }

    private void appendAttempts(StringBuilder line) {
        for (ConnectionEnd end : ConnectionEnd.values()) {
            append(line, " ended_", end, attemptEnds);
        }
        for (AttemptVerdict reason : AttemptVerdict.values()) {
            if (reason != AttemptVerdict.MAY_BEGIN) {
                append(line, " held_back_", reason, attemptsHeldBack);
            }
        }
    }

    private static void append(StringBuilder line, String prefix, Enum<?> constant, long[] counts) {
        line.append(prefix).append(metricName(constant)).append('=').append(counts[constant.ordinal()]);
    }
}
