package mintstair.serve;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.ServerSocketChannel;
import mintstair.wire.AcceptRetryStrategy;
import org.glassfish.grizzly.nio.ChannelConfigurator;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;

/** Creates the TCP transport that carries client connections and connections to database hosts. */
final class ClientTransport {
    /** The size of a read. Larger buffers give no more throughput, and each connection may hold one. */
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private ClientTransport() {}

    /** Returns a transport with one network thread, whose listeners set SO_REUSEPORT. It is not started yet. */
    static TCPNIOTransport create() {
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(new AcceptRetryStrategy())
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setReadBufferSize(READ_BUFFER_BYTES)
                .build();
        transport.setChannelConfigurator(new ReusePortConfigurator(transport.getChannelConfigurator()));
        return transport;
    }

    /** Sets SO_REUSEPORT on listeners, so that during an upgrade both processes can listen on the same address. */
    private static final class ReusePortConfigurator implements ChannelConfigurator {
        private final ChannelConfigurator defaults;

        ReusePortConfigurator(ChannelConfigurator defaults) {
            this.defaults = defaults;
        }

        @Override
        public void preConfigure(NIOTransport transport, SelectableChannel channel) throws IOException {
            defaults.preConfigure(transport, channel);
            if (channel instanceof ServerSocketChannel listener) {
                enableReusePort(listener);
            }
        }

        @Override
        public void postConfigure(NIOTransport transport, SelectableChannel channel) throws IOException {
            defaults.postConfigure(transport, channel);
        }

        /**
         * Enables the option where it is supported. The virtual machine checks for support once, when the first socket
         * is created; if that check failed, for example because no file descriptor was free, the option is unavailable
         * for the life of the process. The process then serves without it, and no successor can listen beside it.
         */
        private static void enableReusePort(ServerSocketChannel listener) throws IOException {
            try {
                listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            } catch (UnsupportedOperationException e) {
                System.err.println("starting: SO_REUSEPORT is unavailable, a successor cannot share the address: "
                        + e.getMessage());
            }
        }
    }
}
