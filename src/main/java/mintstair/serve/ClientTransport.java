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

/** Builds the transport that carries the connections of clients and to hosts. */
final class ClientTransport {
    /** Bytes of one read. A larger buffer speeds up nothing, and every connection may fill one. */
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private ClientTransport() {}

    /** A transport with one network thread; its listeners share their address with those of other processes. */
    static TCPNIOTransport create() {
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(new AcceptRetryStrategy())
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setReadBufferSize(READ_BUFFER_BYTES)
                .build();
        transport.setChannelConfigurator(new PortSharing(transport.getChannelConfigurator()));
        return transport;
    }

    /** Sets SO_REUSEPORT on listeners, so that a successor can listen before its predecessor has stopped. */
    private static final class PortSharing implements ChannelConfigurator {
        private final ChannelConfigurator defaults;

        PortSharing(ChannelConfigurator defaults) {
            this.defaults = defaults;
        }

        @Override
        public void preConfigure(NIOTransport transport, SelectableChannel channel) throws IOException {
            defaults.preConfigure(transport, channel);
            if (channel instanceof ServerSocketChannel listener) {
                sharePort(listener);
            }
        }

        @Override
        public void postConfigure(NIOTransport transport, SelectableChannel channel) throws IOException {
            defaults.postConfigure(transport, channel);
        }

        /**
         * The virtual machine probes the system for this option once, at the first socket. Where that probe failed,
         * as for want of descriptors, this process serves without a successor beside it.
         */
        private static void sharePort(ServerSocketChannel listener) throws IOException {
            try {
                listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            } catch (UnsupportedOperationException e) {
                System.err.println("starting: no other process can listen beside this one: " + e.getMessage());
            }
        }
    }
}
