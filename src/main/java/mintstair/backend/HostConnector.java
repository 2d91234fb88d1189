package mintstair.backend;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.proxy.EventLoop;
import mintstair.stats.Counters;
import mintstair.wire.MessageFilter;
import mintstair.wire.ReadBeginFilter;
import mintstair.wire.ReadThrottle;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Makes the network connections to hosts, writes to them, and keeps what bounds and records all of them. */
final class HostConnector {
    /** How much of a long reply may wait for its client, on one connection. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** The same while the bytes that wait on all connections are over their limit; the heap is small. */
    private static final int MAX_BUFFERED_BYTES_WHEN_FULL = 16 * 1024;

    private static final long MAX_TOTAL_BUFFERED_BYTES = 6 * 1024 * 1024;

    private final EventLoop loop;
    private final Protocol protocol;
    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler handler;
    private final MessageFilter filter = new MessageFilter();
    private final Counters counters;
    private final AtomicLong totalBufferedBytes = new AtomicLong();
    private long connectTimeoutMicros;
    private Recorder recorder = Recorder.NONE;

    HostConnector(EventLoop loop, Protocol protocol, TCPNIOTransport transport, Counters counters) {
        this.loop = loop;
        this.protocol = protocol;
        this.transport = transport;
        this.counters = counters;
        handler = TCPNIOConnectorHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new ReadBeginFilter(filter))
                        .add(new TransportFilter())
                        .add(filter)
                        .build())
                .build();
    }

    EventLoop loop() {
        return loop;
    }

    Protocol protocol() {
        return protocol;
    }

    /** How long a connection may take until it is ready for its first attempt. */
    long connectTimeoutMicros() {
        return connectTimeoutMicros;
    }

    void setConnectTimeoutMicros(long micros) {
        connectTimeoutMicros = micros;
    }

    void setRecorder(Recorder newRecorder) {
        recorder = newRecorder;
    }

    /** Begins to connect. */
    GrizzlyFuture<Connection> connect(InetSocketAddress address) {
        return handler.connect(address);
    }

    /** Has the reads and the end of a connection passed to the listener; on the network thread. */
    void listen(Connection<?> connection, MessageFilter.Listener listener) {
        filter.listen(connection, listener);
    }

    /** Makes the read throttle of a connection; on any thread. */
    ReadThrottle throttle(Connection<?> connection) {
        return new ReadThrottle(
                connection,
                MAX_BUFFERED_BYTES,
                MAX_BUFFERED_BYTES_WHEN_FULL,
                totalBufferedBytes,
                MAX_TOTAL_BUFFERED_BYTES);
    }

    /** Begins to record a connection, where there is a recorder. */
    Recorder.Conversation record(Connection<?> connection) {
        if (recorder == Recorder.NONE) {
            return Recorder.Conversation.NONE;
        }
        return recorder.begin(
                (InetSocketAddress) connection.getLocalAddress(), (InetSocketAddress) connection.getPeerAddress());
    }

    /**
     * Begins to write.
     *
     * @param countsAsAttempt whether the write is counted as an attempt when it is complete
     * @param onWritten runs on the network thread when the last byte was handed to the kernel
     */
    @SuppressWarnings({"unchecked", "rawtypes"})
    void write(Connection<?> connection, byte[] bytes, boolean countsAsAttempt, Runnable onWritten) {
        ((Connection) connection)
                .write(Buffers.wrap(transport.getMemoryManager(), bytes), new EmptyCompletionHandler<WriteResult>() {
                    @Override
                    public void completed(WriteResult result) {
                        onWritten.run();
                        if (countsAsAttempt) {
                            counters.attemptsWritten.incrementAndGet();
                        }
                    }
                });
    }
}
