package mintstair.pcap;

import java.net.InetSocketAddress;

/** Is notified of the TCP connections of a capture, on the thread that reads it. */
@FunctionalInterface
public interface TcpFlowListener {
    /**
     * A connection of which bytes are to be delivered.
     *
     * @param timestampNanos Unix nanoseconds of its first bytes
     * @param startCaptured whether the capture holds the beginning of what the client sent
     * @return what is notified of the connection's bytes
     */
    TcpFlowHandler flowOpened(
            long timestampNanos, InetSocketAddress client, InetSocketAddress server, boolean startCaptured);
}
