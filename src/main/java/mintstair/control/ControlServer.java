package mintstair.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
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
 * Serves the control address: a connection sends one command line, receives the response, and is closed. All
 * connections are handled by one thread of the server's own transport, so that it responds however busy the fronts
 * and the event loop are.
 */
public final class ControlServer implements AutoCloseable {
    /** Connections that may be open without a whole command; their descriptors are reserved. */
    public static final int MAX_INCOMPLETE = 16;

    private static final int BACKLOG = 64;

    private final ControlCommands commands;
    private final TCPNIOTransport transport;

    /** Connections that have not sent a whole command yet, the oldest first. Guarded by {@code incomplete}. */
    private final Set<CommandConnection> incomplete = new LinkedHashSet<>();

    /** Answers with these commands; listens only once it is told to. */
    public ControlServer(ControlCommands commands) {
        this.commands = commands;
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
        FilterChainBuilder filters =
                FilterChainBuilder.stateless().add(new TransportFilter()).add(new MessageFilter(this::accept));
        TCPNIOServerConnection listener = TCPNIOBindingHandler.builder(transport)
                .processor(filters.build())
                .build()
                .bind(address, BACKLOG);
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /** Connections that send no whole command must not keep others out: the oldest is closed for a new one. */
    private CommandConnection accept(Connection<?> connection) {
        CommandConnection accepted = new CommandConnection(connection);
        add(accepted).ifPresent(evicted -> evicted.connection.terminateSilently());
        return accepted;
    }

    /** Returns the connection that is over the limit. */
    private Optional<CommandConnection> add(CommandConnection accepted) {
        synchronized (incomplete) {
            incomplete.add(accepted);
            if (incomplete.size() <= MAX_INCOMPLETE) {
                return Optional.empty();
            }
            Iterator<CommandConnection> oldestFirst = incomplete.iterator();
            CommandConnection oldest = oldestFirst.next();
            oldestFirst.remove();
            return Optional.of(oldest);
        }
    }

    /** Returns false where the connection was closed, or had its command, before. */
    private boolean remove(CommandConnection completed) {
        synchronized (incomplete) {
            return incomplete.remove(completed);
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

    /** One connection: reads are on the transport's thread, the close is on any. */
    private final class CommandConnection implements MessageFilter.Listener {
        private final Connection<?> connection;
        private final Framer framer = new LineFramer();

        CommandConnection(Connection<?> connection) {
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
                // Too long a line is no command, and is responded to as one that is unknown.
                line = "";
            }
            if (remove(this)) {
                write(commands.respond(line).getBytes(StandardCharsets.UTF_8));
            }
        }

        /** The connection's type parameter is its address type, which its writer wants as a raw one. */
        @SuppressWarnings({"unchecked", "rawtypes"})
        private void write(byte[] response) {
            ((Connection) connection)
                    .write(Buffers.wrap(transport.getMemoryManager(), response), new CloseWhenWritten());
        }

        @Override
        public void closed() {
            remove(this);
        }

        private final class CloseWhenWritten extends EmptyCompletionHandler<WriteResult> {
            @Override
            public void completed(WriteResult result) {
                connection.closeSilently();
            }

            @Override
            public void failed(Throwable cause) {
                connection.terminateSilently();
            }
        }
    }
}
