package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;
import mintstair.registry.view.RegistryEvent.Reason;

/**
 * Follows a registry that streams changes by revision (etcd): a paged read of all entries at one revision, then a watch
 * from the next revision on. After a lost connection the watch continues from the first revision that is not applied
 * yet. All entries are read again only if that revision has been compacted, or the registry was restored or replaced;
 * until the read is complete, the old entries remain in use.
 *
 * <p>It relies on these guarantees of the registry. A linearizable read never returns an older position than an earlier
 * one, so an older position means that the registry was restored from a backup. A message of a watch contains complete
 * revisions unless it is marked as a fragment. After a progress message, no change up to its revision is missing.
 *
 * <p>A watch without messages may have no changes to report, may be dead, or its member may lag. It is therefore
 * checked periodically: the quorum's revision is read, and the watch must reach it before a deadline, see {@link
 * ProgressCheck}.
 */
public final class WatchView extends RegistryView {
    private static final int INITIAL_PAGE_SIZE = 500;
    private static final int MAX_PAGE_SIZE = 16_000;
    /** A watch that is catching up may take this many times the keepalive timeout to reach the quorum's revision. */
    private static final int CATCH_UP_FACTOR = 3;

    private enum Phase {
        IDLE,
        /** Reading all entries. */
        READING,
        /** Reading the quorum's position, after a member reported an older position than the view's. */
        CHECKING_POSITION,
        /** Following a watch, or waiting for its creation. */
        WATCHING
    }

    private final TransactionBuffer transaction;
    private final ProgressCheck progressCheck = new ProgressCheck();
    private Phase phase = Phase.IDLE;
    /** The read in progress, which is kept between attempts; null for none. */
    private PagedRead read;

    private boolean fullReadRequired;
    private int pageSize = INITIAL_PAGE_SIZE;
    private boolean watchCreated;

    /**
     * Creates a view without entries.
     *
     * @param serverCount the number of servers; calls name a server by its index
     * @param seed the seed of the order of the servers and of all random delays
     */
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

    /**
     * Reads the quorum's position, because a member reported an older position than the view's. It shows whether the
     * member lags or the registry was restored.
     */
    private void checkPosition() {
        phase = Phase.CHECKING_POSITION;
        long callId = beginCall(timeouts.callMicros());
        send(new RegistryCall.ReadPosition(callId, servers.current()));
    }

    /** Reads all entries again, because the watch cannot continue. The old entries are used until then. */
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
            failCall(
                    Reason.MALFORMED,
                    "unexpected response of type " + event.getClass().getSimpleName());
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
        if (!read.pinOrCheck(page.position())) {
            // The earlier pages belong to another history.
            read = null;
            readNextPage();
            return;
        }
        read.add(page.entries());
        if (!page.more()) {
            finishRead();
        } else if (page.entries().isEmpty()) {
            failCall(Reason.MALFORMED, "empty page that is not the last one");
        } else {
            readNextPage();
        }
    }

    private void finishRead() {
        RegistryPosition position = read.position();
        boolean replaced = revision >= 0 && position.clusterId() != clusterId;
        boolean restored = revision >= 0 && isBehind(position);
        if (restored) {
            count("set_back");
            log("history changed from revision " + revision + " of term " + term + " to revision " + position.revision()
                    + " of term " + position.term() + "; the registry was restored from a backup");
        }
        if (replaced) {
            count("replaced");
            log("cluster id changed from " + hex(clusterId) + " to " + hex(position.clusterId())
                    + "; the registry was replaced by another one");
        }
        table.countExcluded(read.excludedCount());
        table.replace(read.entries(), position.revision(), !replaced && !restored, nowMicros, updateSink());
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

    /** Whether this position, from a linearizable read, is older than the view's in the same registry. */
    private boolean isBehind(RegistryPosition position) {
        return position.clusterId() == clusterId && isOlder(position);
    }

    private boolean isOlder(RegistryPosition position) {
        return position.revision() < revision || position.term() < term;
    }

    private void onCompacted() {
        if (phase == Phase.READING) {
            // With larger pages the next read takes less time, so that it can finish before the next compaction.
            count("compacted_while_reading");
            read = null;
            pageSize = Math.min(MAX_PAGE_SIZE, pageSize * 2);
            failCall(Reason.CANCELLED, "revision compacted during the read");
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
            failCall(Reason.LAGS, "server has not reached revision " + revision);
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
                failCall(Reason.MALFORMED, "change of revision " + changeRevision + " after one of " + newestRevision);
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
            progressCheck.recordQuorumRevision(position.revision());
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
            failCall(Reason.LAGS, "watch did not reach the quorum's revision " + progressCheck.quorumRevision());
        } else {
            super.onDeadline();
        }
    }

    /** Whether the watch is still approaching the quorum's revision, as after a long interruption. */
    private boolean isCatchingUp() {
        return progressCheck.advancedTo(revision)
                && !progressCheck.isOlderThan(CATCH_UP_FACTOR * timeouts.keepaliveTimeoutMicros(), nowMicros);
    }

    @Override
    void onCallLost(Reason reason) {
        if (phase == Phase.READING && (reason == Reason.MALFORMED || reason == Reason.LAGS)) {
            // The quorum has not reached the revision of the read, so that belongs to a history before a restore.
            read = null;
        }
        phase = Phase.IDLE;
        transaction.clear();
    }
}
