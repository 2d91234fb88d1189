package mintstair.pcap;

/**
 * Is notified of what a capture holds of one TCP connection, on the thread that reads it. Times are Unix
 * nanoseconds.
 */
public interface TcpFlowHandler {
    /**
     * Bytes {@code from} to {@code to - 1} of the array, which follow those of the call before in this direction.
     */
    void bytesReceived(long timestampNanos, boolean fromClient, byte[] bytes, int from, int to);

    /** Bytes of this direction are missing for good: none follow, though the connection may go on. */
    void streamLost(long timestampNanos, boolean fromClient);

    /** The connection was closed or reset, or the capture ended. No call follows. */
    void flowClosed(long timestampNanos);
}
