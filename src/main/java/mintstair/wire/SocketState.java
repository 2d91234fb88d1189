package mintstair.wire;

/**
 * The state of a connected socket in the kernel, which is known even while the socket is not read.
 *
 * @param hasUnreadInput whether bytes, or the end of the input, can be read
 * @param isClosedByPeer whether the peer has closed the connection or its sending side, or has reset the connection;
 *     bytes that it sent before may still be unread
 */
public record SocketState(boolean hasUnreadInput, boolean isClosedByPeer) {}
