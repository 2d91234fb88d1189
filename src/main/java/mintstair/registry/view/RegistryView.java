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
 * class holds what does not depend on the kind of registry: the entries, the call in progress with its deadline, the
 * reconnection after a failure, and how old the view is. A subclass holds the protocol: which call follows on which
 * event.
 *
 * <p>The owner passes in events and the time, at {@link #wakeAt} at the latest, and carries out the returned {@link
 * ViewStep}s. Time never goes back here, whatever the owner's clock does. Not thread-safe.
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

    /** The calls and updates of the step that is being made. */
    private List<RegistryCall> calls = new ArrayList<>();

    private List<ViewUpdate> updates = new ArrayList<>();

    long nowMicros;
    /**
     * The history that the entries belong to, the revision that they are complete up to (below 0: none), its highest
     * term.
     */
    long clusterId;

    long revision = -1;
    long term;

    /** Whether the registry has confirmed the entries since the start; before, deltas of endpoints are not emitted. */
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

    /** Starts from the last run's snapshot, or null for none, and makes the first call. */
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

    /** Handles an event of the connection. */
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

    /** Lets time pass. */
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

    /** When {@link #tick} has something to do next. */
    public final long wakeAt() {
        long callWakeAt = callInProgress == NO_CALL ? nextAttemptAt : callDeadline;
        return Math.min(callWakeAt, Math.min(table.nextFlushAt(), failureLog.nextFlushAt()));
    }

    /** The view as it is stored over a restart; null while there is none. */
    public final Snapshot snapshot() {
        if (revision < 0) {
            return null;
        }
        return new Snapshot(keys.prefix(), clusterId, revision, term, confirmedAt, table.entries());
    }

    /** The state of the view at this time. */
    public final ViewMetrics metrics(long atMicros) {
        Map<String, Long> allCounts = new TreeMap<>(counts);
        allCounts.put("unreadable", table.unreadable());
        allCounts.put("overflown", table.overflown());
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

    /** The whole lists of all fronts, for a receiver that has missed updates. */
    public final List<ViewUpdate> fullUpdate() {
        List<ViewUpdate> all = new ArrayList<>();
        table.emitAll(revision, !live, all::add);
        return all;
    }

    /** Makes the first call of an attempt, at the current server. */
    abstract void connect();

    /** Handles an event of the call in progress, other than its failure. */
    abstract void handle(RegistryEvent event);

    /** The deadline of the call in progress has passed; by default it has failed. */
    void onDeadline() {
        failCall(Reason.SILENT, "no message in time");
    }

    /** The call in progress has failed: discards what it has delivered in part. */
    abstract void onCallLost(Reason reason);

    private void makeNextAttempt() {
        nextAttemptAt = NOT_SCHEDULED;
        connect();
    }

    /**
     * Begins a call in place of the one in progress; it is to show a sign of life within the timeout. Returns its id.
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
        failureLog.log(nowMicros, "registry: endpoint " + servers.current() + " " + lastFailure, updates::add);
        onCallLost(reason);
        nextAttemptAt = nowMicros + reconnectPolicy.advanceAfterFailure(reason, nowMicros);
    }

    /** The connection works: the next failure counts as the first. */
    final void resetReconnect() {
        reconnectPolicy.recordSuccess();
    }

    /**
     * Whether the current server belongs to the registry that the view follows, or to one that the majority of the
     * servers now belong to, which then takes its place. If neither, the call fails.
     */
    final boolean checkCluster(RegistryPosition position) {
        servers.recordClusterId(position.clusterId());
        if (position.clusterId() == clusterId || revision < 0 || servers.majorityIsOf(position.clusterId())) {
            return true;
        }
        failCall(Reason.FOREIGN, "cluster id " + hex(position.clusterId()) + " in place of " + hex(clusterId));
        return false;
    }

    static String hex(long id) {
        return Long.toUnsignedString(id, 16);
    }

    /** The registry has confirmed that the view is complete up to {@link #revision}, and that it stands there. */
    final void confirm() {
        confirmedAt = nowMicros;
        if (!live) {
            live = true;
            table.emitAll(revision, false, updates::add);
        }
    }

    /**
     * Takes updates from the table; deltas of endpoints only once the view is live, as the whole lists come before
     * them.
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
