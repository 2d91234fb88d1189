package mintstair.pcap;

import java.nio.ByteBuffer;

/**
 * One fragment of an IP packet.
 *
 * @param identification equal in all fragments of a packet
 * @param offset of its payload in the payload of the packet, in bytes
 * @param moreFragments false for the last fragment
 * @param payload what was captured of it
 * @param length of its payload before the snapshot length cut it
 */
record IpFragment(
        IpAddresses addresses, int identification, int offset, boolean moreFragments, ByteBuffer payload, int length) {
    boolean isTruncated() {
        return payload.limit() < length;
    }

    int end() {
        return offset + length;
    }

    byte[] payloadBytes() {
        byte[] bytes = new byte[length];
        payload.get(0, bytes);
        return bytes;
    }
}
