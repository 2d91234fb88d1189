package mintstair.backend;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.proxy.EventLoop;
import mintstair.stats.Counters;
import mintstair.wire.MessageFilter;
import mintstair.wire.ReadStartFilter;
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

/**
 * Opens network connections to hosts and writes to them. It holds what the connections of one protocol share: the
 * connect timeout, the limit on buffered bytes and the recorder.
 */
final class HostConnector {
    /** How many bytes of a long reply may be pending for its client, on one connection. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** The same limit while the pending bytes of all connections exceed their limit, as the heap is small. */
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
                        .add(new ReadStartFilter(filter))
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

    /** Returns the time in which a new connection must become ready for its first attempt. */
    long connectTimeoutMicros() {
        return connectTimeoutMicros;
    }

    void setConnectTimeoutMicros(long micros) {
        connectTimeoutMicros = micros;
    }

    void setRecorder(Recorder newRecorder) {
        recorder = newRecorder;
    }

    /** Starts to connect to this address. */
    GrizzlyFuture<Connection> connect(InetSocketAddress address) {
        return handler.connect(address);
    }

    /** Sets the listener that is notified, on the network thread, of the reads and the end of a connection. */
    void listen(Connection<?> connection, MessageFilter.Listener listener) {
        filter.listen(connection, listener);
    }

    /** Creates the read throttle of a connection. May be called on any thread. */
    ReadThrottle throttle(Connection<?> connection) {
        return new ReadThrottle(
                connection,
                MAX_BUFFERED_BYTES,
                MAX_BUFFERED_BYTES_WHEN_FULL,
                totalBufferedBytes,
                MAX_TOTAL_BUFFERED_BYTES);
    }

    /** Starts to record a connection, if there is a recorder. */
    Recorder.Conversation startRecording(Connection<?> connection) {
        if (recorder == Recorder.NONE) {
            return Recorder.Conversation.NONE;
        }
        return recorder.begin(
                (InetSocketAddress) connection.getLocalAddress(), (InetSocketAddress) connection.getPeerAddress());
    }

    /**
     * Starts to write to a connection, and returns immediately.
     *
     * @param countsAsAttempt whether the write is counted as an attempt when it is complete
     * @param onWritten runs on the network thread when the last byte was passed to the kernel
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
