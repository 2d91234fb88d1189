package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;
import mintstair.registry.view.RegistryEvent.Reason;

/**
 * Follows a registry that has revisions and streams changes from any of them on: a paged read of all entries at one
 * revision, then a watch from the next revision on. After a lost connection the watch continues from the next revision
 * that is not applied yet. Only where that has been compacted, or the registry's history is another one, everything is
 * read again; until that is complete the old entries stand.
 *
 * <p>It relies on these guarantees of the registry: a linearizable read never shows less than an earlier one, so one
 * that does shows a restored history; a message of a watch holds whole revisions unless it is marked as a fragment; a
 * progress message means that nothing is missing up to its revision.
 *
 * <p>A watch without messages may be quiet, dead, or of a member that lags. It is therefore checked periodically: the
 * quorum's revision is read, and the watch must report that it has come as far, see {@link ProgressCheck}.
 */
public final class WatchView extends RegistryView {
    private static final int INITIAL_PAGE_SIZE = 500;
    private static final int MAX_PAGE_SIZE = 16_000;
    /** A watch that is catching up may take this many times the keepalive timeout to reach the quorum. */
    private static final int CATCH_UP_FACTOR = 3;

    private enum Phase {
        IDLE,
        /** Reading all entries. */
        READING,
        /** Reading the quorum's position, after a member reported an older one than is known. */
        CHECKING_POSITION,
        WATCHING
    }

    private final TransactionBuffer transaction;
    private final ProgressCheck progressCheck = new ProgressCheck();
    private Phase phase = Phase.IDLE;
    /** The read that is in progress, also between two attempts; null for none. */
    private PagedRead read;

    private boolean fullReadRequired;
    private int pageSize = INITIAL_PAGE_SIZE;
    private boolean watchCreated;

    /** Servers are given by their number; the seed decides their order and all delays. */
    public WatchView(RegistryKeys keys, ViewLimits limits, ViewTimeouts timeouts, int serverCount, long seed) {
        super(keys, limits, timeouts, serverCount, seed);
        transaction = new TransactionBuffer(limits.maxTransactionBytes());
    }

    @Override
    void connect() {
        if (revision < 0 || fullReadRequired) {
            readNextPage();
        } else {
            watch();
        }
    }

    private void readNextPage() {
        if (read == null) {
            read = new PagedRead(limits, keys.prefix());
        }
        phase = Phase.READING;
        long callId = beginCall(timeouts.callMicros());
        send(new RegistryCall.Read(callId, servers.current(), read.nextKey(), read.revision(), pageSize));
    }

    private void watch() {
        phase = Phase.WATCHING;
        progressCheck.stop();
        watchCreated = false;
        long callId = beginCall(timeouts.callMicros());
        send(new RegistryCall.Watch(callId, servers.current(), revision + 1));
    }

    /** A member's own position contradicts what is known: the quorum's position shows which of both is out of date. */
    private void checkPosition() {
        phase = Phase.CHECKING_POSITION;
        long callId = beginCall(timeouts.callMicros());
        send(new RegistryCall.ReadPosition(callId, servers.current()));
    }

    /** What is known cannot be continued; it stands until the read of all entries is complete. */
    private void readAll() {
        transaction.clear();
        fullReadRequired = true;
        read = null;
        readNextPage();
    }

    @Override
    void handle(RegistryEvent event) {
        if (event instanceof RegistryEvent.Compacted) {
            onCompacted();
            return;
        }
        boolean expected = switch (phase) {
            case IDLE -> false;
            case READING -> handleWhileReading(event);
            case CHECKING_POSITION -> handleWhileCheckingPosition(event);
            case WATCHING -> handleWhileWatching(event);
        };
        if (!expected) {
            failCall(Reason.MALFORMED, "unexpected response");
        }
    }

    private boolean handleWhileReading(RegistryEvent event) {
        if (event instanceof RegistryEvent.Page page) {
            onPage(page);
            return true;
        }
        return false;
    }

    private boolean handleWhileCheckingPosition(RegistryEvent event) {
        if (event instanceof RegistryEvent.PositionRead positionRead) {
            onPositionRead(positionRead.position());
            return true;
        }
        return false;
    }

    private boolean handleWhileWatching(RegistryEvent event) {
        if (event instanceof RegistryEvent.WatchCreated created) {
            onWatchCreated(created.position());
        } else if (event instanceof RegistryEvent.Changes changes) {
            onChanges(changes);
        } else if (event instanceof RegistryEvent.Progress progress) {
            onProgress(progress.position());
        } else if (event instanceof RegistryEvent.QuorumPosition quorum) {
            onQuorumPosition(quorum.position());
        } else {
            return false;
        }
        return true;
    }

    private void onPage(RegistryEvent.Page page) {
        if (!checkCluster(page.position())) {
            return;
        }
        if (!read.pinOrMatch(page.position())) {
            // The pages so far are of another history.
            read = null;
            readNextPage();
            return;
        }
        read.add(page.entries());
        if (!page.more()) {
            finishRead();
        } else if (page.entries().isEmpty()) {
            failCall(Reason.MALFORMED, "an empty page that is not the last");
        } else {
            readNextPage();
        }
    }

    private void finishRead() {
        RegistryPosition position = read.position();
        boolean replaced = revision >= 0 && position.clusterId() != clusterId;
        boolean wentBack = revision >= 0 && isBehind(position);
        if (wentBack) {
            count("set_back");
            log("history went back from revision " + revision + " to " + position.revision() + ", as after a restore");
        }
        if (replaced) {
            count("replaced");
            log("replaced by another registry, cluster id " + hex(position.clusterId()));
        }
        table.countOverflown(read.overflown());
        table.replace(read.entries(), position.revision(), !replaced && !wentBack, nowMicros, updateSink());
        clusterId = position.clusterId();
        revision = position.revision();
        term = position.term();
        fullReadRequired = false;
        read = null;
        pageSize = INITIAL_PAGE_SIZE;
        count("readings");
        confirm();
        watch();
    }

    /** Whether a linearizable read at this position shows less of the same registry than is known already. */
    private boolean isBehind(RegistryPosition position) {
        return position.clusterId() == clusterId && isOlder(position);
    }

    private boolean isOlder(RegistryPosition position) {
        return position.revision() < revision || position.term() < term;
    }

    private void onCompacted() {
        if (phase == Phase.READING) {
            // Larger pages make the next read faster than the compaction.
            count("compacted_while_reading");
            read = null;
            pageSize = Math.min(MAX_PAGE_SIZE, pageSize * 2);
            failCall(Reason.CANCELLED, "compacted while it was read");
        } else {
            count("compacted");
            readAll();
        }
    }

    private void onPositionRead(RegistryPosition position) {
        if (!checkCluster(position)) {
            return;
        }
        if (position.clusterId() != clusterId || isBehind(position)) {
            readAll();
        } else {
            term = position.term();
            failCall(Reason.LAGS, "it is behind revision " + revision);
        }
    }

    private void onWatchCreated(RegistryPosition position) {
        if (!checkCluster(position)) {
            return;
        }
        if (position.clusterId() != clusterId) {
            readAll();
        } else if (isOlder(position)) {
            checkPosition();
        } else {
            watchCreated = true;
            startProgressCheck();
        }
    }

    private void onChanges(RegistryEvent.Changes message) {
        if (message.position().clusterId() != clusterId) {
            onOtherCluster(message.position());
            return;
        }
        progressCheck.recordMessage();
        transaction.add(message.changes());
        if (transaction.isOverLimit()) {
            count("transactions_given_up");
            readAll();
        } else if (!message.fragment()) {
            applyTransaction();
        }
    }

    private void applyTransaction() {
        List<EntryChange> received = transaction.drain();
        List<EntryChange> changes = new ArrayList<>(received.size());
        long newestRevision = revision;
        for (EntryChange change : received) {
            long changeRevision = change.entry().modRevision();
            if (changeRevision <= revision) {
                count("repeated");
            } else if (changeRevision < newestRevision) {
                failCall(Reason.MALFORMED, "changes out of order");
                return;
            } else {
                newestRevision = changeRevision;
                changes.add(change);
            }
        }
        revision = newestRevision;
        count("batches");
        table.apply(changes, revision, nowMicros, updateSink());
        endProgressCheckIfPassed();
    }

    private void onProgress(RegistryPosition position) {
        if (position.clusterId() != clusterId) {
            onOtherCluster(position);
            return;
        }
        progressCheck.recordMessage();
        if (!transaction.isEmpty()) {
            return;
        }
        if (position.revision() < revision) {
            checkPosition();
        } else {
            revision = position.revision();
            endProgressCheckIfPassed();
        }
    }

    private void onQuorumPosition(RegistryPosition position) {
        if (position.clusterId() != clusterId) {
            onOtherCluster(position);
        } else if (isBehind(position)) {
            readAll();
        } else {
            term = position.term();
            progressCheck.recordQuorum(position.revision());
            endProgressCheckIfPassed();
        }
    }

    private void onOtherCluster(RegistryPosition position) {
        transaction.clear();
        if (checkCluster(position)) {
            readAll();
        }
    }

    private void startProgressCheck() {
        progressCheck.start(nowMicros, revision);
        send(new RegistryCall.RequestProgress(callInProgress()));
        setCallDeadline(nowMicros + timeouts.keepaliveTimeoutMicros());
    }

    private void endProgressCheckIfPassed() {
        if (progressCheck.passes(revision)) {
            progressCheck.stop();
            setCallDeadline(nowMicros + timeouts.keepaliveIntervalMicros());
            resetReconnect();
            confirm();
        }
    }

    @Override
    void onDeadline() {
        if (phase != Phase.WATCHING || !watchCreated) {
            super.onDeadline();
        } else if (!progressCheck.isRunning()) {
            startProgressCheck();
        } else if (isCatchingUp()) {
            setCallDeadline(nowMicros + timeouts.keepaliveTimeoutMicros() / 2);
        } else if (progressCheck.isMemberResponding()) {
            failCall(Reason.LAGS, "it stays behind revision " + progressCheck.quorumRevision());
        } else {
            super.onDeadline();
        }
    }

    /** The watch comes nearer to the quorum: it may have missed much. */
    private boolean isCatchingUp() {
        return progressCheck.advancedTo(revision)
                && !progressCheck.isOlderThan(CATCH_UP_FACTOR * timeouts.keepaliveTimeoutMicros(), nowMicros);
    }

    @Override
    void onCallLost(Reason reason) {
        if (phase == Phase.READING && (reason == Reason.MALFORMED || reason == Reason.LAGS)) {
            // Not even the quorum has reached the read's revision: it is of a history that was replaced by a restore.
            read = null;
        }
        phase = Phase.IDLE;
        transaction.clear();
    }
}
