package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Tells addresses of this machine from those of others. */
final class LocalAddresses {
    private LocalAddresses() {}

    /** Returns whether sockets of this machine can be bound to the IP address, on whatever port. */
    static boolean isLocal(InetSocketAddress address) {
        if (address.isUnresolved()) {
            return false;
        }
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(address.getAddress(), 0));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
