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
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * The daemons' small replicated store of configuration and state, on Apache Ratis. A write is kept by a majority
 * of the members before it is answered; without a majority it is refused. It is for what changes seldom: never
 * on a request's path, and not for sessions' tokens or the health of hosts, which each proxy learns by itself.
 */
public final class Store implements Closeable {
    /** A key and value longer than this are not what the store is for; a list of some thousand hosts is shorter. */
    public static final int LONGEST = 1024 * 1024;
    /** An entry of the log must fit what is sent, and what is written, at once. */
    private static final int BUFFER = 2 * LONGEST;

    private static final TimeDuration TRY = TimeDuration.valueOf(1, TimeUnit.SECONDS);
    private static final int TRIES = 20;
    private static final TimeDuration BETWEEN = TimeDuration.valueOf(200, TimeUnit.MILLISECONDS);
    private static final RaftGroupId GROUP =
            RaftGroupId.valueOf(UUID.nameUUIDFromBytes("mintstair".getBytes(StandardCharsets.UTF_8)));

    private final RaftServer server;
    private final Entries entries;
    private final RaftClient client;

    private Store(RaftServer server, Entries entries, RaftClient client) {
        this.server = server;
        this.entries = entries;
        this.client = client;
    }

    /** Starts the member of this name, with what its folder holds from before; the others may start later. */
    public static Store member(String name, Map<String, InetSocketAddress> members, Path folder) throws IOException {
        RaftProperties properties = properties();
        NettyConfigKeys.Server.setHost(properties, members.get(name).getHostString());
        NettyConfigKeys.Server.setPort(properties, members.get(name).getPort());
        RaftServerConfigKeys.setStorageDir(properties, List.of(folder.toFile()));
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(4 * BUFFER));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("64KB"));
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, SizeInBytes.valueOf(BUFFER));
        RaftServerConfigKeys.Log.setWriteBufferSize(properties, SizeInBytes.valueOf(BUFFER + 8));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, 1000);
        // Without word from a majority for this long a leader stops being one, and refuses.
        RaftServerConfigKeys.LeaderElection.setLeaderStepDownWaitTime(properties, TRY);
        Entries entries = new Entries();
        boolean known = Files.isDirectory(folder.resolve(GROUP.getUuid().toString()));
        RaftServer server = RaftServer.newBuilder()
                .setServerId(RaftPeerId.valueOf(name))
                .setGroup(group(members))
                .setProperties(properties)
                .setStateMachine(entries)
                .setOption(known ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT)
                .build();
        server.start();
        return new Store(server, entries, client(members));
    }

    /** Reaches the members from outside, without being one. */
    public static Store outside(Map<String, InetSocketAddress> members) {
        return new Store(null, null, client(members));
    }

    private static RaftProperties properties() {
        RaftProperties properties = new RaftProperties();
        RaftConfigKeys.Rpc.setType(properties, SupportedRpcType.NETTY);
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, TRY);
        return properties;
    }

    private static RaftGroup group(Map<String, InetSocketAddress> members) {
        return RaftGroup.valueOf(
                GROUP,
                members.entrySet().stream()
                        .map(m -> RaftPeer.newBuilder()
                                .setId(m.getKey())
                                .setAddress(m.getValue().getHostString() + ":"
                                        + m.getValue().getPort())
                                .build())
                        .toList());
    }

    private static RaftClient client(Map<String, InetSocketAddress> members) {
        return RaftClient.newBuilder()
                .setProperties(properties())
                .setRaftGroup(group(members))
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(TRIES, BETWEEN))
                .build();
    }

    /** Writes an entry; throws where no majority took it in time, after which it may still take effect. */
    public void put(String key, String value) throws IOException {
        if (key.isEmpty() || key.indexOf('\0') >= 0 || key.length() + value.length() > LONGEST) {
            throw new IllegalArgumentException("no entry for the store: " + key.length() + " + " + value.length());
        }
        check(client.io().send(Message.valueOf(key + '\0' + value)));
    }

    /** Reads an entry as a majority has it, or null where there is none. */
    public String get(String key) throws IOException {
        String found = check(client.io().sendReadOnly(Message.valueOf(key)))
                .getMessage()
                .getContent()
                .toStringUtf8();
        return found.isEmpty() ? null : found.substring(1);
    }

    /** Reads an entry as this member has it, which may be a little old; null where there is none. */
    public String local(String key) {
        return entries.get(key);
    }

    /** Whether this member leads the others now. */
    public boolean leads() throws IOException {
        return server.getDivision(GROUP).getInfo().isLeader();
    }

    private static RaftClientReply check(RaftClientReply reply) throws IOException {
        if (!reply.isSuccess()) {
            throw new IOException("the store refused: " + reply.getException());
        }
        return reply;
    }

    @Override
    public void close() throws IOException {
        client.close();
        if (server != null) {
            server.close();
        }
    }
}
