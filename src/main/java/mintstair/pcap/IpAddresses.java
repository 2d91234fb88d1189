package mintstair.pcap;

import java.nio.ByteBuffer;

/**
 * Source and destination address of an IP packet; equal where their bytes are. Each buffer is the whole of its
 * array.
 */
record IpAddresses(ByteBuffer source, ByteBuffer destination) {
    /** Reads both addresses, which follow each other in the header of either version. */
    static IpAddresses read(ByteBuffer packet, int offset, int addressBytes) {
        return new IpAddresses(
                address(packet, offset, addressBytes), address(packet, offset + addressBytes, addressBytes));
    }

    private static ByteBuffer address(ByteBuffer packet, int offset, int length) {
        byte[] bytes = new byte[length];
        packet.get(offset, bytes);
        return ByteBuffer.wrap(bytes);
    }
}
