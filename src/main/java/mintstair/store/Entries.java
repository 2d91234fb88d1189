package mintstair.store;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
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
import org.apache.ratis.util.MD5FileUtil;

/** What the store holds: keys and values, changed by the members' common log alone. */
final class Entries extends BaseStateMachine {
    /** What a kill leaves half written is under this name, which is no snapshot's. */
    private static final String UNFINISHED = "unfinished";

    private static final String SET_ASIDE = "bad-";

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final Map<String, String> entries = new TreeMap<>();

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        setAsideTorn(raftStorage.getStorageDir().getStateMachineDir().toPath());
        storage.init(raftStorage);
        load(storage.getLatestSnapshot());
    }

    /** A snapshot without its right digest is not whole, and the members' logs or copies have what is in it. */
    private static void setAsideTorn(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return;
        }
        List<Path> files;
        try (Stream<Path> listed = Files.list(folder)) {
            files = listed.filter(file -> SimpleStateMachineStorage.SNAPSHOT_REGEX
                            .matcher(file.getFileName().toString())
                            .matches())
                    .toList();
        }
        for (Path file : files) {
            if (!isWhole(file.toFile())) {
                System.err.println("store: " + file + " is not whole and is set aside");
                Files.move(
                        file, file.resolveSibling(SET_ASIDE + file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private static boolean isWhole(File snapshot) throws IOException {
        MD5Hash kept = MD5FileUtil.readStoredMd5ForFile(snapshot);
        return kept != null && kept.equals(MD5FileUtil.computeMd5ForFile(snapshot));
    }

    @Override
    public void reinitialize() throws IOException {
        load(storage.getLatestSnapshot());
    }

    @Override
    public SimpleStateMachineStorage getStateMachineStorage() {
        return storage;
    }

    private synchronized void load(SingleFileSnapshotInfo snapshot) throws IOException {
        if (snapshot == null) {
            return;
        }
        entries.clear();
        try (DataInputStream in =
                new DataInputStream(Files.newInputStream(snapshot.getFile().getPath()))) {
            for (int n = in.readInt(); n > 0; n--) {
                entries.put(read(in), read(in));
            }
        }
        setLastAppliedTermIndex(snapshot.getTermIndex());
    }

    /** A snapshot stands in for the log up to it, so that the log need not grow for ever. */
    @Override
    public synchronized long takeSnapshot() throws IOException {
        TermIndex last = getLastAppliedTermIndex();
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        Path unfinished = file.toPath().resolveSibling(UNFINISHED);
        try (FileOutputStream written = new FileOutputStream(unfinished.toFile());
                DataOutputStream out = new DataOutputStream(new BufferedOutputStream(written))) {
            out.writeInt(entries.size());
            for (Map.Entry<String, String> e : entries.entrySet()) {
                write(out, e.getKey());
                write(out, e.getValue());
            }
            out.flush();
            written.getFD().sync();
        }
        // Under its name it is whole, and its digest is there before it.
        MD5Hash digest = MD5FileUtil.computeMd5ForFile(unfinished.toFile());
        MD5FileUtil.saveMD5File(file, digest);
        Files.move(unfinished, file.toPath(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), last));
        return last.getIndex();
    }

    private static String read(DataInputStream in) throws IOException {
        return new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
    }

    private static void write(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    @Override
    public synchronized CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        String[] change =
                entry.getStateMachineLogEntry().getLogData().toStringUtf8().split("\0", 2);
        if (change.length == 2) {
            entries.put(change[0], change[1]);
        }
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        return CompletableFuture.completedFuture(Message.EMPTY);
    }

    /** The value behind a mark, or nothing at all where there is no such key. */
    @Override
    public CompletableFuture<Message> query(Message key) {
        String found = get(key.getContent().toStringUtf8());
        return CompletableFuture.completedFuture(found == null ? Message.EMPTY : Message.valueOf("=" + found));
    }

    synchronized String get(String key) {
        return entries.get(key);
    }
}
