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
 * Counts the events of one protocol since the start of the process. Used on the event loop only, except for the fields
 * of type {@link AtomicLong}, which any thread may use.
 *
 * <p>The public fields are incremented by the component that observes the event; each is incremented at one or two
 * places only.
 */
public final class Counters {
    /** Replaces the previous attempt's end in the name of the retry metric while an earlier attempt is in flight. */
    private static final String PREVIOUS_IN_FLIGHT = "beside_another";

    /** Client messages that were not a valid request and led to an error response or a closed connection. */
    public long malformedMessages;
    /** Client connections that were accepted, except for {@link #clientConnectionsDropped}. */
    public long clientConnectionsOpened;
    /** Client connections that were closed with an error message because file descriptors ran short. */
    public long clientConnectionsRejected;
    /** Client connections that were closed between two requests because file descriptors ran short. */
    public long idleClientConnectionsEvicted;
    /** Client connections that were closed at once, without a message, because too many were opened together. */
    public final AtomicLong clientConnectionsDropped = new AtomicLong();
    /** Connections to hosts that the proxy started to open. */
    public long hostConnectionsOpened;
    /** The connections in {@link #hostConnectionsOpened} that were opened before an attempt needed them. */
    public long hostConnectionsPreconnected;
    /** The connections in {@link #hostConnectionsOpened} that failed before they were ready. */
    public long hostConnectionsFailed;
    /** Attempts whose last byte was written to a host. */
    public final AtomicLong attemptsWritten = new AtomicLong();
    /** Calls to service discovery. */
    public long discoveryCalls;
    /** The calls in {@link #discoveryCalls} that were rejected, lost their connection or received no reply. */
    public long discoveryCallsFailed;
    /** Reloads of the settings that succeeded. */
    public long reloadsSucceeded;
    /** Reloads of the settings that failed, so that the previous settings remained in effect. */
    public long reloadsFailed;

    private long requestsAccepted;
    private long requestsAbandoned;
    private long requestsOverdue;
    private long attemptsSent;
    private long healthChecksSent;
    private final long[] responses = newResponseCounts();
    /** The number of responses of each kind, by request class. Classes that have been removed are retained. */
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

    /** Counts an accepted request. */
    public void requestAccepted() {
        requestsAccepted++;
    }

    /** Returns the number of accepted requests. */
    public long requestsAccepted() {
        return requestsAccepted;
    }

    /** Counts a request whose client disconnected before its response. */
    public void requestAbandoned() {
        requestsAbandoned++;
    }

    /** Returns the number of requests whose client disconnected before its response. */
    public long requestsAbandoned() {
        return requestsAbandoned;
    }

    /** Counts a request that the deadline guard failed because it had no response after its deadline. */
    public void requestOverdue() {
        requestsOverdue++;
    }

    /** Counts an attempt that was passed to the backend. */
    public void attemptSent() {
        attemptsSent++;
    }

    /** Returns the number of attempts that were passed to the backend. */
    public long attemptsSent() {
        return attemptsSent;
    }

    /** Counts the end of an attempt that was passed to the backend. */
    public void attemptEnded(ConnectionEnd end) {
        attemptEnds[end.ordinal()]++;
    }

    /** Counts an attempt that the router decided on but that did not begin, by the reason. */
    public void attemptHeldBack(AttemptVerdict reason) {
        attemptsHeldBack[reason.ordinal()]++;
    }

    /**
     * Counts an attempt that is not the first one of its request.
     *
     * @param previousEnd how the previous attempt ended; null if an earlier attempt is still in flight
     */
    public void retrySent(ConnectionEnd previousEnd) {
        increment(retriesByPreviousEnd, previousEnd == null ? PREVIOUS_IN_FLIGHT : metricName(previousEnd));
    }

    /** Counts a health check that was sent. */
    public void healthCheckSent() {
        healthChecksSent++;
    }

    /** Counts a client connection that was closed, by the reason. */
    public void clientConnectionClosed(Enum<?> reason) {
        increment(clientsEnded, metricName(reason));
    }

    /** Counts a request that was rejected or failed without a host's reply, by the reason. */
    public void requestGivenUp(GiveUpReason reason) {
        increment(givenUp, metricName(reason));
    }

    /** Counts the violation of an invariant, which indicates a fault of the program. */
    public void invariantViolated(String rule) {
        increment(invariantViolations, rule);
    }

    /** Adds a request class, so that its metrics are published before its first response. */
    public void addRequestClass(String requestClass) {
        responsesOf(requestClass);
    }

    /** Counts the final response to a request of this class. */
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

    /** Adds the metrics that are published on the control address. */
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
     * Returns one line of names and values, for the counter commands of the protocols and for the log. Other programs
     * parse it.
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
