package mintstair.membership;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * The sockets of a member: a datagram socket for messages and a server socket for connection checks, on the same port
 * and registered with the same selector.
 */
final class MembershipSockets implements AutoCloseable {
    private static final int MAX_BIND_ATTEMPTS = 20;

    /** Opens datagram sockets. */
    interface DatagramOpener {
        /** Opens an unbound datagram socket, which will be registered with the selector. */
        DatagramChannel open(Selector selector) throws IOException;
    }

    private final Selector selector;
    private final DatagramChannel datagrams;
    private final ConnectionChecker connectionChecker;
    private final int port;

    private MembershipSockets(
            Selector selector, DatagramChannel datagrams, ConnectionChecker connectionChecker, int port) {
        this.selector = selector;
        this.datagrams = datagrams;
        this.connectionChecker = connectionChecker;
        this.port = port;
    }

    /**
     * Binds both sockets. With port 0, any port that is free for both is used; as a port that is free for UDP may be in
     * use for TCP, up to 20 ports are tried.
     *
     * @param name this member's name, which is sent in reply to other members' connection checks
     * @param listener receives the results of this member's own checks
     * @throws IOException if the address is not available or no socket can be opened
     */
    static MembershipSockets bind(InetSocketAddress listen, String name, ConnectionChecker.Listener listener)
            throws IOException {
        return bind(listen, name, listener, selector -> DatagramChannel.open(StandardProtocolFamily.INET));
    }

    /** Binds both sockets, of which the given opener creates the datagram socket. */
    static MembershipSockets bind(
            InetSocketAddress listen, String name, ConnectionChecker.Listener listener, DatagramOpener opener)
            throws IOException {
        Selector selector = Selector.open();
        try {
            return bindOn(selector, listen, name, listener, opener);
        } catch (IOException e) {
            selector.close();
            throw e;
        }
    }

    private static MembershipSockets bindOn(
            Selector selector,
            InetSocketAddress listen,
            String name,
            ConnectionChecker.Listener listener,
            DatagramOpener opener)
            throws IOException {
        for (int attempt = 1; ; attempt++) {
            DatagramChannel datagrams = opener.open(selector);
            int port = listen.getPort();
            try {
                datagrams.bind(listen);
                port = ((InetSocketAddress) datagrams.getLocalAddress()).getPort();
                InetSocketAddress bound = new InetSocketAddress(listen.getAddress(), port);
                datagrams.configureBlocking(false);
                datagrams.register(selector, SelectionKey.OP_READ);
                ConnectionChecker checker = new ConnectionChecker(selector, name, bound, listener);
                return new MembershipSockets(selector, datagrams, checker, port);
            } catch (IOException e) {
                datagrams.close();
                if (listen.getPort() != 0 || attempt == MAX_BIND_ATTEMPTS) {
                    throw new IOException(
                            "membership: " + listen.getHostString() + ":" + port + ": " + e.getMessage(), e);
                }
            }
        }
    }

    Selector selector() {
        return selector;
    }

    DatagramChannel datagrams() {
        return datagrams;
    }

    ConnectionChecker connectionChecker() {
        return connectionChecker;
    }

    /** Returns the port of both sockets. */
    int port() {
        return port;
    }

    @Override
    public void close() throws IOException {
        connectionChecker.close();
        datagrams.close();
        selector.close();
    }
}
