package mintstair.store;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyConfigKeys;
import org.apache.ratis.proto.RaftProtos.CommitInfoProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.RaftRetryFailureException;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * A small replicated key-value store for the configuration and state of the daemons: a Raft group on Apache Ratis. A
 * write is acknowledged once a majority of the members has it, and fails without a majority.
 *
 * <p>The store is intended for data that seldom changes. No client request of the proxy depends on it, and it does not
 * contain session tokens or the health of hosts, which each proxy determines on its own. Thread-safe. {@link #put} and
 * {@link #get} block until a majority has responded or the attempts of the Ratis client are exhausted; {@link
 * #getLocal} does not block.
 */
public final class Store implements Closeable {
    /** The maximum total length of key and value in characters; a list of several thousand hosts is shorter. */
    public static final int MAX_ENTRY_CHARS = 1024 * 1024;

    /** A log entry must fit into the send buffer and the write buffer. */
    private static final int BUFFER_BYTES = 2 * MAX_ENTRY_CHARS;

    private static final int SEGMENT_BYTES = 4 * BUFFER_BYTES;
    /** Ratis requires the write buffer to be larger than the send buffer by this. */
    private static final int WRITE_BUFFER_MARGIN_BYTES = 8;

    private static final String PREALLOCATED_SIZE = "64KB";
    private static final long ENTRIES_PER_SNAPSHOT = 1000;

    private static final TimeDuration REQUEST_TIMEOUT = TimeDuration.valueOf(1, TimeUnit.SECONDS);
    /** A leader that gets no response from a majority for this long steps down and rejects requests. */
    private static final TimeDuration LEADER_STEP_DOWN_TIMEOUT = REQUEST_TIMEOUT;

    private static final int MAX_ATTEMPTS = 20;
    private static final TimeDuration RETRY_PAUSE = TimeDuration.valueOf(200, TimeUnit.MILLISECONDS);
    /** The file in a member's directory that Ratis locks while it runs the member. */
    private static final String LOCK_FILE = "in_use.lock";

    private static final RaftGroupId GROUP_ID =
            RaftGroupId.valueOf(UUID.nameUUIDFromBytes("mintstair".getBytes(StandardCharsets.UTF_8)));

    /** Null, like the state machine, if this is a client that is not a member. */
    private final RaftServer server;

    private final KeyValueStateMachine stateMachine;
    private final RaftClient client;

    private Store(RaftServer server, KeyValueStateMachine stateMachine, RaftClient client) {
        this.server = server;
        this.stateMachine = stateMachine;
        this.client = client;
    }

    /**
     * A value as the group has agreed on it.
     *
     * @param value the value; null if there is no such key
     * @param commitIndex the index of a log entry such that a member that has applied it has the value, or a later one
     */
    public record Reading(String value, long commitIndex) {}

    /**
     * Starts a member of the group with the data that an earlier run left in its directory. The other members may start
     * later.
     *
     * @param name the name of this member
     * @param members the addresses of all members by name, including this one
     * @param directory the directory of this member's log and snapshots
     * @throws IOException if the member cannot be started
     */
    public static Store startMember(String name, Map<String, InetSocketAddress> members, Path directory)
            throws IOException {
        KeyValueStateMachine stateMachine = new KeyValueStateMachine();
        RaftServer server = RaftServer.newBuilder()
                .setServerId(RaftPeerId.valueOf(name))
                .setGroup(group(members))
                .setProperties(serverProperties(members.get(name), directory))
                .setStateMachine(stateMachine)
                .setOption(startupOption(directory))
                .build();
        try {
            server.start();
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
        return new Store(server, stateMachine, client(members));
    }

    /**
     * Returns whether a process runs the member with this directory. It holds a lock on the directory before it sends or
     * answers anything in the member's name, until it ends. Must not be called by that process itself: closing the file
     * would release its lock.
     */
    public static boolean isInUse(Path directory) {
        Path lockFile = groupDirectory(directory).resolve(LOCK_FILE);
        if (!Files.exists(lockFile)) {
            return false;
        }
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            return lock == null;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (IOException e) {
            // The directory is unusable, which the start of the member reports.
            return false;
        }
    }

    private static Path groupDirectory(Path directory) {
        return directory.resolve(GROUP_ID.getUuid().toString());
    }

    /**
     * Creates a client that is not a member of the group; only {@link #put}, {@link #get}, {@link #read}, {@link
     * #isMember} and {@link #close} may be called on it.
     *
     * @param members the addresses of all members by name
     */
    public static Store createClient(Map<String, InetSocketAddress> members) {
        return new Store(null, null, client(members));
    }

    private static RaftStorage.StartupOption startupOption(Path directory) {
        boolean hasData = Files.isDirectory(groupDirectory(directory));
        return hasData ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT;
    }

    private static RaftProperties serverProperties(InetSocketAddress address, Path directory) {
        RaftProperties properties = commonProperties();
        NettyConfigKeys.Server.setHost(properties, address.getHostString());
        NettyConfigKeys.Server.setPort(properties, address.getPort());
        RaftServerConfigKeys.setStorageDir(properties, List.of(directory.toFile()));
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(SEGMENT_BYTES));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf(PREALLOCATED_SIZE));
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, SizeInBytes.valueOf(BUFFER_BYTES));
        RaftServerConfigKeys.Log.setWriteBufferSize(
                properties, SizeInBytes.valueOf(BUFFER_BYTES + WRITE_BUFFER_MARGIN_BYTES));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, ENTRIES_PER_SNAPSHOT);
        RaftServerConfigKeys.LeaderElection.setLeaderStepDownWaitTime(properties, LEADER_STEP_DOWN_TIMEOUT);
        return properties;
    }

    private static RaftProperties commonProperties() {
        RaftProperties properties = new RaftProperties();
        RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.NETTY);
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, REQUEST_TIMEOUT);
        return properties;
    }

    private static RaftGroup group(Map<String, InetSocketAddress> members) {
        List<RaftPeer> peers = members.entrySet().stream()
                .map(member -> peer(member.getKey(), member.getValue()))
                .toList();
        return RaftGroup.valueOf(GROUP_ID, peers);
    }

    private static RaftPeer peer(String name, InetSocketAddress address) {
        return RaftPeer.newBuilder()
                .setId(name)
                .setAddress(address.getHostString() + ":" + address.getPort())
                .build();
    }

    private static RaftClient client(Map<String, InetSocketAddress> members) {
        return RaftClient.newBuilder()
                .setProperties(commonProperties())
                .setRaftGroup(group(members))
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(MAX_ATTEMPTS, RETRY_PAUSE))
                .build();
    }

    /**
     * Writes an entry, and replaces the value that the key has.
     *
     * @throws IllegalArgumentException if the key is empty or contains a zero character, or key and value together
     *     are longer than {@link #MAX_ENTRY_CHARS}
     * @throws NoQuorumException if no majority acknowledged the write in time; the write may still take effect later
     * @throws IOException if the write failed for another reason
     */
    public void put(String key, String value) throws IOException {
        if (!StoreMessages.isValidKey(key) || key.length() + value.length() > MAX_ENTRY_CHARS) {
            throw new IllegalArgumentException("invalid entry: key of " + key.length() + " and value of "
                    + value.length() + " characters; the key must not be empty or contain a zero character, and both"
                    + " together are limited to " + MAX_ENTRY_CHARS);
        }
        Message write = StoreMessages.write(key, value);
        send(() -> client.io().send(write));
    }

    /**
     * Returns the value of the key as the leader has it; null if there is no such key. A leader that has lost its
     * majority may answer until it steps down, for {@link #LEADER_STEP_DOWN_TIMEOUT}.
     *
     * @throws NoQuorumException if no majority responded in time
     * @throws IOException if the read failed for another reason
     */
    public String get(String key) throws IOException {
        return read(key).value();
    }

    /**
     * Returns the value of the key as {@link #get} does, and how far a member's log reaches that has it.
     *
     * @throws NoQuorumException if no majority responded in time
     * @throws IOException if the read failed for another reason
     */
    public Reading read(String key) throws IOException {
        Message query = StoreMessages.query(key);
        RaftClientReply reply = send(() -> client.io().sendReadOnly(query));
        long commitIndex = reply.getCommitInfos().stream()
                .mapToLong(CommitInfoProto::getCommitIndex)
                .max()
                .orElse(Long.MAX_VALUE);
        return new Reading(StoreMessages.parseQueryReply(reply.getMessage()), commitIndex);
    }

    /** Returns whether this process runs a member of the group, rather than being its client. */
    public boolean isMember() {
        return server != null;
    }

    /**
     * Returns whether this member follows the group. One that has failed in a way that it cannot recover from does not,
     * and its values no longer change.
     */
    public boolean isRunning() {
        try {
            return server.getDivision(GROUP_ID).getInfo().isAlive();
        } catch (IOException e) {
            // The member has been closed.
            return false;
        }
    }

    /** Returns whether this member follows the group and has applied the log up to this index. */
    public boolean hasApplied(long index) throws IOException {
        return isRunning() && server.getDivision(GROUP_ID).getInfo().getLastAppliedIndex() >= index;
    }

    /** Returns this member's value of the key, which may be outdated; null if there is no such key. */
    public String getLocal(String key) {
        return stateMachine.get(key);
    }

    /** Returns whether this member is currently the leader of the group. */
    public boolean isLeader() throws IOException {
        return server.getDivision(GROUP_ID).getInfo().isLeader();
    }

    /** A request to the group, which is retried by the Ratis client. */
    @FunctionalInterface
    private interface Request {
        RaftClientReply send() throws IOException;
    }

    private static RaftClientReply send(Request request) throws IOException {
        RaftClientReply reply;
        try {
            reply = request.send();
        } catch (RaftRetryFailureException e) {
            throw new NoQuorumException(e.getMessage(), e);
        }
        if (!reply.isSuccess()) {
            throw new StoreException("the store rejected the request: " + reply.getException(), reply.getException());
        }
        return reply;
    }

    /** Closes the client and, if this is a member, the server. */
    @Override
    public void close() throws IOException {
        try {
            client.close();
        } finally {
            if (server != null) {
                server.close();
            }
        }
    }
}
