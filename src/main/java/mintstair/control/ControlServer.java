package mintstair.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import mintstair.wire.AcceptRetryStrategy;
import mintstair.wire.Framer;
import mintstair.wire.LineFramer;
import mintstair.wire.MessageFilter;
import mintstair.wire.ProtocolException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;

/**
 * The second address: one line a connection, one answer, the end. It has a thread and a listener of its own, so that it
 * answers whatever clients do to the front, and whatever the loop is at.
 */
public final class ControlServer implements AutoCloseable {
    /** Callers that may be connected at once; their descriptors are set aside. */
    public static final int MOST_CALLERS = 16;

    private final ControlCommands calls;
    private final TCPNIOTransport transport;
    /** Those that have not sent their line yet, the oldest first. */
    private final Set<Caller> incomplete = new LinkedHashSet<>();

    private TCPNIOServerConnection listener;

    public ControlServer(ControlCommands calls) {
        this.calls = calls;
        transport = TCPNIOTransportBuilder.newInstance()
                .setName("control")
                .setIOStrategy(new AcceptRetryStrategy())
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setReadBufferSize(LineFramer.MAX_LINE_LENGTH)
                .build();
    }

    /** Listens on the address, or on any free port of it for port 0; returns the port. */
    public int listen(InetSocketAddress address) throws IOException {
        if (transport.isStopped()) {
            transport.start();
        }
        MessageFilter filter = new MessageFilter(connection -> {
            Caller caller = new Caller(connection);
            begin(caller);
            return caller;
        });
        listener = TCPNIOBindingHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(filter)
                        .build())
                .build()
                .bind(address, 64);
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /** Callers that keep a connection without a whole call must not keep others out: the oldest of them gives way. */
    private void begin(Caller caller) {
        Caller oldest = null;
        synchronized (incomplete) {
            incomplete.add(caller);
            if (incomplete.size() > MOST_CALLERS) {
                Iterator<Caller> callers = incomplete.iterator();
                oldest = callers.next();
                callers.remove();
            }
        }
        if (oldest != null) {
            oldest.connection.terminateSilently();
        }
    }

    private boolean end(Caller caller) {
        synchronized (incomplete) {
            return incomplete.remove(caller);
        }
    }

    @Override
    public void close() {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            System.err.println("control: " + e.getMessage());
        }
    }

    /** One connection; all of it happens on the transport's one thread. */
    private final class Caller implements MessageFilter.Listener {
        private final Connection<?> connection;
        private final Framer framer = new LineFramer();

        Caller(Connection<?> connection) {
            this.connection = connection;
        }

        @Override
        public void read(ByteBuffer bytes) {
            String line;
            try {
                framer.feed(bytes);
                byte[] whole = framer.next();
                if (whole == null) {
                    return;
                }
                line = new String(whole, StandardCharsets.ISO_8859_1);
            } catch (ProtocolException e) {
                line = "";
            }
            if (end(this)) {
                write(calls.answer(line).getBytes(StandardCharsets.UTF_8));
            }
        }

        @SuppressWarnings({"unchecked", "rawtypes"})
        private void write(byte[] words) {
            ((Connection) connection)
                    .write(
                            Buffers.wrap(transport.getMemoryManager(), words),
                            new EmptyCompletionHandler<WriteResult>() {
                                @Override
                                public void completed(WriteResult result) {
                                    connection.closeSilently();
                                }

                                @Override
                                public void failed(Throwable why) {
                                    connection.terminateSilently();
                                }
                            });
        }

        @Override
        public void closed() {
            end(this);
        }
    }
}
