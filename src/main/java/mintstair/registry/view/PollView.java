package mintstair.registry.view;

import mintstair.registry.view.RegistryEvent.Reason;

/**
 * Follows a registry that answers blocking queries. Each response is the whole list at an index, and the next query
 * waits for a newer one. An index that goes back is either a lagging member's, or the registry was restored from a
 * backup; a linearizable read shows which.
 *
 * <p>While a query is held, its server is asked for its leader on another connection. A held connection that died alone
 * is only noticed when the query should have ended.
 */
public final class PollView extends RegistryView {
    /** How long the server is asked to hold a query. */
    public static final long WAIT_MICROS = 4_000_000;
    /** The server may add up to a sixteenth of the wait. */
    private static final long MAX_WAIT_MICROS = WAIT_MICROS + WAIT_MICROS / 16;
    /** The index of a query that is answered at once. */
    private static final long NO_INDEX = 0;

    /** Whether an index that went back is being confirmed by a linearizable read. */
    private boolean confirming;

    private boolean listReceivedOnConnection;
    private boolean progressRequested;
    private long queryEndsAt;

    /** Servers are given by their number; the seed decides their order and all delays. */
    public PollView(RegistryKeys keys, ViewLimits limits, ViewTimeouts timeouts, int serverCount, long seed) {
        super(keys, limits, timeouts, serverCount, seed);
    }

    /**
     * The first query of a connection is not held: it shows at once that the server has a leader, and any restored
     * history.
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
        send(new RegistryCall.Poll(callId, servers.current(), index, confirming));
    }

    @Override
    void handle(RegistryEvent event) {
        if (event instanceof RegistryEvent.FullList list) {
            onList(list);
        } else if (event instanceof RegistryEvent.Progress) {
            onProgress();
        } else {
            failCall(Reason.MALFORMED, "unexpected response");
        }
    }

    private void onProgress() {
        progressRequested = false;
        confirm();
        setCallDeadline(Math.min(queryEndsAt, nowMicros + timeouts.keepaliveIntervalMicros()));
    }

    private void onList(RegistryEvent.FullList list) {
        if (list.index() < 1) {
            // The next query would return at once, for ever.
            failCall(Reason.MALFORMED, "an index below 1");
            return;
        }
        if (!list.leaderConfirmed()) {
            failCall(Reason.LAGS, "response without a leader");
            return;
        }
        boolean wentBack = list.index() < revision;
        if (wentBack && !confirming) {
            confirming = true;
            poll(NO_INDEX);
            return;
        }
        if (wentBack) {
            count("set_back");
            log("index went back from " + revision + " to " + list.index() + ", as after a restore");
        }
        confirming = false;
        replaceEntries(list, !wentBack);
        listReceivedOnConnection = true;
        resetReconnect();
        confirm();
        poll(revision);
    }

    private void replaceEntries(RegistryEvent.FullList list, boolean sameHistory) {
        PagedRead read = new PagedRead(limits, "");
        read.add(list.entries());
        table.countOverflown(read.overflown());
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
