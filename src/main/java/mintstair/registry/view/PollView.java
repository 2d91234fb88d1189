package mintstair.registry.view;

import mintstair.registry.view.RegistryEvent.Reason;

/**
 * Follows a registry that answers blocking queries (Consul). Each response contains all entries at an index, and the
 * next query waits for a higher index. If the index decreases, either the member lags or the registry was restored from
 * a backup; a linearizable read decides which.
 *
 * <p>While a query is held, its server is asked for its leader on another connection, which detects a dead server. If
 * only the connection of the held query is lost, this is noticed when the query should have ended.
 */
public final class PollView extends RegistryView {
    /** How long the server is asked to hold a query that has no newer index to report. */
    public static final long WAIT_MICROS = 4_000_000;
    /** A server extends the requested wait by a random time of up to a sixteenth of it. */
    private static final long MAX_WAIT_MICROS = WAIT_MICROS + WAIT_MICROS / 16;
    /** The index of a query that the server answers immediately. */
    private static final long NO_INDEX = 0;

    /** Whether a linearizable read is in progress that checks a decreased index. */
    private boolean checkingDecrease;

    private boolean listReceivedOnConnection;
    private boolean progressRequested;
    private long queryEndsAt;

    /**
     * Creates a view without entries.
     *
     * @param serverCount the number of servers; calls name a server by its index
     * @param seed the seed of the order of the servers and of all random delays
     */
    public PollView(RegistryKeys keys, ViewLimits limits, ViewTimeouts timeouts, int serverCount, long seed) {
        super(keys, limits, timeouts, serverCount, seed);
    }

    /**
     * Sends a query. The first one after a failure is not held, so that its response immediately shows whether the
     * server has a leader and whether the registry was restored from a backup.
     */
    @Override
    void connect() {
        poll(listReceivedOnConnection ? revision : NO_INDEX);
    }

    private void poll(long index) {
        boolean held = index > NO_INDEX;
        progressRequested = false;
        queryEndsAt = nowMicros + timeouts.callMicros() + (held ? MAX_WAIT_MICROS : 0);
        long callId = beginCall(held ? timeouts.keepaliveIntervalMicros() : timeouts.callMicros());
        send(new RegistryCall.Poll(callId, servers.current(), index, checkingDecrease));
    }

    @Override
    void handle(RegistryEvent event) {
        if (event instanceof RegistryEvent.FullList list) {
            onList(list);
        } else if (event instanceof RegistryEvent.Progress) {
            onProgress();
        } else {
            failCall(Reason.MALFORMED, "response of type " + event.getClass().getSimpleName() + " to a blocking query");
        }
    }

    private void onProgress() {
        progressRequested = false;
        confirm();
        setCallDeadline(Math.min(queryEndsAt, nowMicros + timeouts.keepaliveIntervalMicros()));
    }

    private void onList(RegistryEvent.FullList list) {
        if (list.index() < 1) {
            // A query for such an index is not held, so the view would poll in a busy loop.
            failCall(Reason.MALFORMED, "index " + list.index() + " in a response; expected at least 1");
            return;
        }
        if (!list.leaderConfirmed()) {
            failCall(Reason.LAGS, "response without confirmation of contact with a leader");
            return;
        }
        boolean decreased = list.index() < revision;
        if (decreased && !checkingDecrease) {
            checkingDecrease = true;
            poll(NO_INDEX);
            return;
        }
        if (decreased) {
            count("set_back");
            log("index decreased from " + revision + " to " + list.index()
                    + "; the registry was restored from a backup");
        }
        checkingDecrease = false;
        replaceEntries(list, !decreased);
        listReceivedOnConnection = true;
        resetReconnect();
        confirm();
        poll(revision);
    }

    private void replaceEntries(RegistryEvent.FullList list, boolean sameHistory) {
        PagedRead read = new PagedRead(limits, "");
        read.add(list.entries());
        table.countExcluded(read.excludedCount());
        table.replace(read.entries(), list.index(), sameHistory, nowMicros, updateSink());
        revision = list.index();
        count("readings");
    }

    @Override
    void onDeadline() {
        if (nowMicros >= queryEndsAt || progressRequested) {
            super.onDeadline();
            return;
        }
        progressRequested = true;
        send(new RegistryCall.RequestProgress(callInProgress()));
        setCallDeadline(Math.min(queryEndsAt, nowMicros + timeouts.keepaliveTimeoutMicros()));
    }

    @Override
    void onCallLost(Reason reason) {
        listReceivedOnConnection = false;
    }
}
