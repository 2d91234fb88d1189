package mintstair.store;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyConfigKeys;
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
 * The daemons' small replicated key-value store of configuration and state: a Raft group on Apache Ratis. A write is
 * acknowledged when a majority of the members has it; without a majority it is rejected.
 *
 * <p>For data that changes seldom. It is never on the path of a request, and does not hold session tokens or the health
 * of hosts, which each proxy learns by itself. Thread-safe. {@link #put} and {@link #get} block until a majority has
 * answered or the attempts of the Ratis client are used up; {@link #getLocal} does not block.
 */
public final class Store implements Closeable {
    /** Bound of the length of key and value together, in characters; a list of some thousand hosts is shorter. */
    public static final int MAX_ENTRY_CHARS = 1024 * 1024;

    /** A log entry must fit the buffer in which it is sent, and the one in which it is written. */
    private static final int BUFFER_BYTES = 2 * MAX_ENTRY_CHARS;

    private static final int SEGMENT_BYTES = 4 * BUFFER_BYTES;
    /** Ratis requires that the write buffer is larger than the send buffer by this. */
    private static final int WRITE_BUFFER_MARGIN_BYTES = 8;

    private static final String PREALLOCATED_SIZE = "64KB";
    private static final long ENTRIES_PER_SNAPSHOT = 1000;

    private static final TimeDuration REQUEST_TIMEOUT = TimeDuration.valueOf(1, TimeUnit.SECONDS);
    /** A leader that a majority has not answered for this long steps down, and rejects requests. */
    private static final TimeDuration LEADER_STEP_DOWN_TIMEOUT = REQUEST_TIMEOUT;

    private static final int MAX_ATTEMPTS = 20;
    private static final TimeDuration RETRY_PAUSE = TimeDuration.valueOf(200, TimeUnit.MILLISECONDS);
    private static final RaftGroupId GROUP_ID =
            RaftGroupId.valueOf(UUID.nameUUIDFromBytes("mintstair".getBytes(StandardCharsets.UTF_8)));

    /** Null outside the group, as is the state machine. */
    private final RaftServer server;

    private final KeyValueStateMachine stateMachine;
    private final RaftClient client;

    private Store(RaftServer server, KeyValueStateMachine stateMachine, RaftClient client) {
        this.server = server;
        this.stateMachine = stateMachine;
        this.client = client;
    }

    /**
     * Starts a member of the group, with the data that its directory has from before. The other members may start
     * later.
     *
     * @param name name of this member
     * @param members addresses of all members by name, this one included
     * @param directory where this member keeps its log and snapshots
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
        server.start();
        return new Store(server, stateMachine, client(members));
    }

    /** Connects to the members without being one; only {@link #put} and {@link #get} are available. */
    public static Store createClient(Map<String, InetSocketAddress> members) {
        return new Store(null, null, client(members));
    }

    private static RaftStorage.StartupOption startupOption(Path directory) {
        boolean hasData = Files.isDirectory(directory.resolve(GROUP_ID.getUuid().toString()));
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
     * Writes an entry.
     *
     * @throws IllegalArgumentException if the key is empty or contains a zero character, or the entry is too long
     * @throws NoQuorumException if no majority acknowledged the write in time; it may still take effect later
     * @throws IOException if the write failed for another reason
     */
    public void put(String key, String value) throws IOException {
        if (!StoreMessages.isValidKey(key) || key.length() + value.length() > MAX_ENTRY_CHARS) {
            throw new IllegalArgumentException("no entry for the store: " + key.length() + " + " + value.length());
        }
        Message write = StoreMessages.write(key, value);
        send(() -> client.io().send(write));
    }

    /**
     * Reads an entry as a majority has it; null if there is no such key.
     *
     * @throws NoQuorumException if no majority answered in time
     * @throws IOException if the read failed for another reason
     */
    public String get(String key) throws IOException {
        Message query = StoreMessages.query(key);
        RaftClientReply reply = send(() -> client.io().sendReadOnly(query));
        return StoreMessages.parseQueryReply(reply.getMessage());
    }

    /** Reads an entry as this member has it, which may be outdated; null if there is no such key. */
    public String getLocal(String key) {
        return stateMachine.get(key);
    }

    /** Whether this member is the leader of the group now. */
    public boolean isLeader() throws IOException {
        return server.getDivision(GROUP_ID).getInfo().isLeader();
    }

    /** A request to the group, which the Ratis client retries. */
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
            throw new StoreException("the store refused: " + reply.getException(), reply.getException());
        }
        return reply;
    }

    /** Closes the client and, on a member, the server. */
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
