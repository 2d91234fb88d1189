package mintstair.store;

import java.io.File;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.util.LifeCycle;

/**
 * The replicated state of a member: keys and values, which only committed log entries change. Thread-safe, because
 * Ratis applies entries, takes snapshots and runs queries on its own threads.
 */
final class KeyValueStateMachine extends BaseStateMachine {
    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();

    /** Values by key; guarded by the monitor of the state machine. */
    private final Map<String, String> entries = new TreeMap<>();

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        getLifeCycle().startAndTransition(() -> {
            StoreSnapshot.quarantineIncomplete(
                    raftStorage.getStorageDir().getStateMachineDir().toPath());
            storage.init(raftStorage);
            load(storage.getLatestSnapshot());
        });
    }

    /** Prepares for the installation of a snapshot; Ratis requires the state machine to be paused during it. */
    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    /** Loads the snapshot that Ratis has received from the leader, and continues after {@link #pause}. */
    @Override
    public void reinitialize() throws IOException {
        getLifeCycle().startAndTransition(() -> load(storage.loadLatestSnapshot()));
    }

    @Override
    public SimpleStateMachineStorage getStateMachineStorage() {
        return storage;
    }

    private synchronized void load(SingleFileSnapshotInfo snapshot) throws IOException {
        if (snapshot == null) {
            return;
        }
        Map<String, String> loaded = StoreSnapshot.read(snapshot.getFile().getPath());
        entries.clear();
        entries.putAll(loaded);
        setLastAppliedTermIndex(snapshot.getTermIndex());
    }

    /** Writes the entries to a file and returns the log index up to which Ratis may then truncate the log. */
    @Override
    public synchronized long takeSnapshot() throws IOException {
        TermIndex last = getLastAppliedTermIndex();
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        MD5Hash digest = StoreSnapshot.write(file, entries);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), last));
        return last.getIndex();
    }

    @Override
    public synchronized CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        Optional<StoreMessages.Write> write =
                StoreMessages.parseWrite(entry.getStateMachineLogEntry().getLogData());
        if (write.isPresent()) {
            entries.put(write.get().key(), write.get().value());
        }
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        return CompletableFuture.completedFuture(Message.EMPTY);
    }

    @Override
    public CompletableFuture<Message> query(Message query) {
        String value = get(StoreMessages.parseQuery(query));
        return CompletableFuture.completedFuture(StoreMessages.queryReply(value));
    }

    /** Returns this member's value of the key; null if there is no such key. */
    synchronized String get(String key) {
        return entries.get(key);
    }
}
