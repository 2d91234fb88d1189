package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import mintstair.registry.view.RegistryEvent.Reason;

/**
 * A replica of a registry's entries that is kept current by calls to one of the registry's servers at a time. This
 * class contains what does not depend on the kind of registry: the entries, the call in progress with its deadline,
 * reconnecting after a failure, and the age of the view. A subclass implements the protocol: which call follows which
 * event.
 *
 * <p>The owner passes in events and the time, at {@link #wakeAt} at the latest, and executes the returned {@link
 * ViewStep}s in order. If a passed time is before the last one, the last one is used. Not thread-safe.
 */
public abstract sealed class RegistryView permits WatchView, PollView {
    private static final long NO_CALL = 0;
    private static final long NEVER = -1;
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    final RegistryKeys keys;
    final ViewLimits limits;
    final ViewTimeouts timeouts;
    final EndpointTable table;
    final ServerRotation servers;
    private final ReconnectPolicy reconnectPolicy;
    private final LogRateLimiter failureLog = new LogRateLimiter();
    private final Map<String, Long> counts = new TreeMap<>();

    /** The calls of the current step. */
    private List<RegistryCall> calls = new ArrayList<>();
    /** The updates of the current step. */
    private List<ViewUpdate> updates = new ArrayList<>();

    long nowMicros;
    /** The cluster id of the registry that the entries were read from. */
    long clusterId;
    /** The revision up to which the entries are complete; -1 before the first complete read. */
    long revision = -1;
    /** The highest Raft term that has been received from this registry. */
    long term;

    /** Whether the registry has confirmed the entries since the start; until then, endpoint deltas are not emitted. */
    private boolean live;

    private long confirmedAt = NEVER;
    private long lastCallId;
    private long callInProgress = NO_CALL;
    private long callDeadline = NOT_SCHEDULED;
    private long nextAttemptAt = NOT_SCHEDULED;
    private long lastFailureAt = NEVER;
    private String lastFailure = "";

    RegistryView(RegistryKeys keys, ViewLimits limits, ViewTimeouts timeouts, int serverCount, long seed) {
        this.keys = keys;
        this.limits = limits;
        this.timeouts = timeouts;
        Random random = new Random(seed);
        table = new EndpointTable(keys, limits);
        servers = new ServerRotation(serverCount, random);
        reconnectPolicy = new ReconnectPolicy(servers, timeouts, random);
    }

    /**
     * Starts the view and makes the first call.
     *
     * @param snapshot the snapshot of an earlier run; null for none
     */
    public final ViewStep start(long atMicros, Snapshot snapshot) {
        nowMicros = atMicros;
        if (snapshot != null) {
            clusterId = snapshot.clusterId();
            revision = snapshot.revision();
            term = snapshot.term();
            confirmedAt = Math.min(snapshot.confirmedAtMicros(), atMicros);
            table.replace(snapshot.entries(), revision, true, nowMicros, updateSink());
            table.emitAll(revision, true, updates::add);
        }
        makeNextAttempt();
        return endStep();
    }

    /** Handles an event of the connection; an event of a call that is no longer in progress has no effect. */
    public final ViewStep on(long atMicros, RegistryEvent event) {
        nowMicros = Math.max(nowMicros, atMicros);
        if (callInProgress == NO_CALL || event.callId() != callInProgress) {
            return endStep();
        }
        if (event instanceof RegistryEvent.CallFailed failure) {
            // The call has ended, so there is nothing to cancel.
            callInProgress = NO_CALL;
            onFailure(failure.reason(), failure.detail());
        } else {
            handle(event);
        }
        return endStep();
    }

    /** Handles deadlines that have passed at this time. */
    public final ViewStep tick(long atMicros) {
        nowMicros = Math.max(nowMicros, atMicros);
        table.flushLog(nowMicros, updates::add);
        failureLog.flush(nowMicros, updates::add);
        if (callInProgress != NO_CALL && nowMicros >= callDeadline) {
            onDeadline();
        }
        if (callInProgress == NO_CALL && nowMicros >= nextAttemptAt) {
            makeNextAttempt();
        }
        return endStep();
    }

    /** Returns the time at which {@link #tick} must be called next, unless an event is handled before. */
    public final long wakeAt() {
        long callWakeAt = callInProgress == NO_CALL ? nextAttemptAt : callDeadline;
        return Math.min(callWakeAt, Math.min(table.nextFlushAt(), failureLog.nextFlushAt()));
    }

    /** Returns a snapshot to be stored for a restart; null before the first complete read. */
    public final Snapshot snapshot() {
        if (revision < 0) {
            return null;
        }
        return new Snapshot(keys.prefix(), clusterId, revision, term, confirmedAt, table.entries());
    }

    /** Returns the state of the view at this time. */
    public final ViewMetrics metrics(long atMicros) {
        Map<String, Long> allCounts = new TreeMap<>(counts);
        allCounts.put("unreadable", table.invalidCount());
        allCounts.put("overflown", table.excludedCount());
        return new ViewMetrics(
                clusterId,
                revision,
                confirmedAt < 0 ? -1 : Math.max(0, atMicros - confirmedAt),
                live,
                table.hosts(),
                table.digest(),
                servers.current(),
                lastFailureAt,
                lastFailure,
                allCounts);
    }

    /** Returns the complete endpoint lists of all fronts, for a receiver that has lost updates. */
    public final List<ViewUpdate> fullUpdate() {
        List<ViewUpdate> all = new ArrayList<>();
        table.emitAll(revision, !live, all::add);
        return all;
    }

    /** Makes the first call of an attempt to the current server. */
    abstract void connect();

    /** Handles an event of the call in progress, other than its failure. */
    abstract void handle(RegistryEvent event);

    /** Handles that the deadline of the call in progress has passed; by default, the call fails. */
    void onDeadline() {
        failCall(Reason.SILENT, "no message before the deadline");
    }

    /** Handles that the call in progress has failed: discards incomplete data that it has delivered. */
    abstract void onCallLost(Reason reason);

    private void makeNextAttempt() {
        nextAttemptAt = NOT_SCHEDULED;
        connect();
    }

    /**
     * Cancels the call in progress, if any, and begins a new one, which must deliver an event within the timeout.
     * Returns the id of the new call.
     */
    final long beginCall(long timeoutMicros) {
        cancelCall();
        callInProgress = ++lastCallId;
        callDeadline = nowMicros + timeoutMicros;
        return callInProgress;
    }

    final long callInProgress() {
        return callInProgress;
    }

    final void send(RegistryCall call) {
        calls.add(call);
    }

    final void setCallDeadline(long atMicros) {
        callDeadline = atMicros;
    }

    private void cancelCall() {
        if (callInProgress != NO_CALL) {
            send(new RegistryCall.Cancel(callInProgress));
            callInProgress = NO_CALL;
        }
    }

    /** Cancels the call in progress and counts it as failed. */
    final void failCall(Reason reason, String detail) {
        cancelCall();
        onFailure(reason, detail);
    }

    private void onFailure(Reason reason, String detail) {
        count("breaks");
        count("breaks_" + reason.metricName());
        lastFailureAt = nowMicros;
        lastFailure = reason.metricName().replace('_', ' ') + ": " + detail;
        failureLog.log(
                nowMicros, "registry: call to endpoint " + servers.current() + " failed: " + lastFailure, updates::add);
        onCallLost(reason);
        nextAttemptAt = nowMicros + reconnectPolicy.advanceAfterFailure(reason, nowMicros);
    }

    /** Resets the backoff, so that the next failure counts as the first. */
    final void resetReconnect() {
        reconnectPolicy.recordSuccess();
    }

    /**
     * Returns whether the current server may be followed: it belongs to the same registry as the entries, or to one
     * that the majority of the servers now belong to, or there are no entries yet. Otherwise fails the call.
     */
    final boolean checkCluster(RegistryPosition position) {
        servers.recordClusterId(position.clusterId());
        if (position.clusterId() == clusterId || revision < 0 || servers.majorityIsOf(position.clusterId())) {
            return true;
        }
        failCall(Reason.FOREIGN, "cluster id " + hex(position.clusterId()) + ", expected " + hex(clusterId));
        return false;
    }

    static String hex(long id) {
        return Long.toUnsignedString(id, 16);
    }

    /** Records that the registry has confirmed that {@link #revision} is current and the view complete up to it. */
    final void confirm() {
        confirmedAt = nowMicros;
        if (!live) {
            live = true;
            table.emitAll(revision, false, updates::add);
        }
    }

    /**
     * Returns the receiver of the table's updates. It drops endpoint deltas until the view is live, because the
     * complete lists must be emitted before them.
     */
    final Consumer<ViewUpdate> updateSink() {
        return live ? updates::add : this::emitUnlessEndpoints;
    }

    private void emitUnlessEndpoints(ViewUpdate update) {
        if (!(update instanceof ViewUpdate.Endpoints)) {
            updates.add(update);
        }
    }

    final void log(String line) {
        updates.add(new ViewUpdate.LogLine("registry: " + line));
    }

    final void count(String metric) {
        counts.merge(metric, 1L, Long::sum);
    }

    private ViewStep endStep() {
        ViewStep step = new ViewStep(calls, updates);
        calls = new ArrayList<>();
        updates = new ArrayList<>();
        return step;
    }
}
