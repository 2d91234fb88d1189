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
 * Serves the control address: a client sends one command line, receives the response, and the connection is closed.
 * One thread of a separate transport handles all connections, so that the server responds however busy the fronts and
 * the event loop are.
 */
public final class ControlServer implements AutoCloseable {
    /** The maximum number of connections without a complete command; their file descriptors are reserved. */
    public static final int MAX_INCOMPLETE = 16;

    private static final int BACKLOG = 64;

    private final ControlCommands commands;
    private final TCPNIOTransport transport;

    /** Connections that have not sent a complete command yet, oldest first. Guarded by itself. */
    private final Set<CommandConnection> incomplete = new LinkedHashSet<>();

    /** Creates a server for the commands that does not listen before {@link #listen}. */
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

    /** Listens on the address, or on any free port if its port is 0; returns the port. */
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

    /** Closes the oldest incomplete connection if there are too many, so that idle clients cannot block new ones. */
    private CommandConnection accept(Connection<?> connection) {
        CommandConnection accepted = new CommandConnection(connection);
        add(accepted).ifPresent(evicted -> evicted.connection.terminateSilently());
        return accepted;
    }

    /** Adds a connection and returns the oldest one, now removed, if the limit is exceeded. */
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

    /** Returns false if the connection was already closed, evicted or sent its command. */
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
            System.err.println("control: cannot stop the listener: " + e.getMessage());
        }
    }

    /** One connection; {@link #read} runs on the transport's thread, {@link #closed} on any thread. */
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
                byte[] frame = framer.next();
                if (frame == null) {
                    return;
                }
                line = new String(frame, StandardCharsets.ISO_8859_1);
            } catch (ProtocolException e) {
                // A line over the length limit is answered like an unknown command.
                line = "";
            }
            if (remove(this)) {
                write(commands.respond(line).getBytes(StandardCharsets.UTF_8));
            }
        }

        /** Uses a raw type because the writer's type does not match the connection's address type parameter. */
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
