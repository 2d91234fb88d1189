package mintstair.pcap;

import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads TCP segments from IP packets of versions 4 and 6, fragmented ones too (RFC 791, RFC 8200). Fragments are
 * kept for 30 seconds of capture time, and of 256 packets at most; the oldest are dropped for newer ones. Not safe
 * for use by several threads.
 */
final class IpReassembler {
    private static final int MAX_FRAGMENTED_PACKETS = 256;
    private static final int MAX_PAYLOAD_BYTES = 65_535;
    private static final long REASSEMBLY_TIMEOUT_NANOS = 30_000_000_000L;

    private static final int FRAGMENT_UNIT_BYTES = 8;

    private static final int IPV4_MIN_HEADER_BYTES = 20;
    private static final int IPV4_MORE_FRAGMENTS = 0x2000;
    private static final int IPV4_FRAGMENT_OFFSET_MASK = 0x1fff;

    private static final int IPV6_HEADER_BYTES = 40;
    private static final int IPV6_MAX_EXTENSION_HEADERS = 16;
    private static final int IPV6_EXTENSION_UNIT_BYTES = 8;
    private static final int IPV6_AUTHENTICATION_UNIT_BYTES = 4;
    private static final int IPV6_FRAGMENT_HEADER_BYTES = 8;
    private static final int IPV6_MORE_FRAGMENTS = 1;
    private static final int IPV6_FRAGMENT_OFFSET_MASK = 0xfff8;

    private static final int PROTOCOL_HOP_BY_HOP = 0;
    private static final int PROTOCOL_TCP = 6;
    private static final int PROTOCOL_ROUTING = 43;
    private static final int PROTOCOL_FRAGMENT = 44;
    private static final int PROTOCOL_AUTHENTICATION = 51;
    private static final int PROTOCOL_DESTINATION_OPTIONS = 60;
    private static final int PROTOCOL_MOBILITY = 135;

    private final DropCounters drops;
    private final Map<PacketKey, FragmentedPacket> fragmented = new LinkedHashMap<>();

    /** What the fragments of one packet have in common. */
    private record PacketKey(IpAddresses addresses, int identification) {}

    IpReassembler(DropCounters drops) {
        this.drops = drops;
    }

    /** Returns the segment that the packet holds or completes, or null where there is none; that is counted. */
    TcpSegment accept(long timestampNanos, ByteBuffer packet) {
        try {
            boolean version4 = (packet.get(0) >> 4 & 15) == 4;
            return version4 ? readVersion4(timestampNanos, packet) : readVersion6(timestampNanos, packet);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            return dropNotTcp();
        }
    }

    private TcpSegment readVersion4(long timestampNanos, ByteBuffer packet) {
        int headerLength = (packet.get(0) & 15) * Integer.BYTES;
        int lengthField = Short.toUnsignedInt(packet.getShort(2));
        // A capture on the sending machine may hold packets whose length is filled in later by the network card.
        int totalLength = lengthField == 0 ? packet.limit() : lengthField;
        if (packet.get(9) != PROTOCOL_TCP || headerLength < IPV4_MIN_HEADER_BYTES || totalLength < headerLength) {
            return dropNotTcp();
        }
        IpAddresses addresses = IpAddresses.read(packet, 12, 4);
        int fragmentField = packet.getShort(6);
        int fragmentOffset = (fragmentField & IPV4_FRAGMENT_OFFSET_MASK) * FRAGMENT_UNIT_BYTES;
        boolean moreFragments = (fragmentField & IPV4_MORE_FRAGMENTS) != 0;
        ByteBuffer payload = payload(packet, headerLength, totalLength);
        int payloadLength = totalLength - headerLength;
        if (fragmentOffset == 0 && !moreFragments) {
            return TcpSegment.parse(timestampNanos, addresses, payload, payloadLength);
        }
        int identification = Short.toUnsignedInt(packet.getShort(4));
        return acceptFragment(
                timestampNanos,
                new IpFragment(addresses, identification, fragmentOffset, moreFragments, payload, payloadLength));
    }

    /** Follows the chain of extension headers to the segment or a fragment of one. */
    private TcpSegment readVersion6(long timestampNanos, ByteBuffer packet) {
        int totalLength = IPV6_HEADER_BYTES + Short.toUnsignedInt(packet.getShort(4));
        IpAddresses addresses = IpAddresses.read(packet, 8, 16);
        int protocol = Byte.toUnsignedInt(packet.get(6));
        int offset = IPV6_HEADER_BYTES;
        for (int headers = 0; headers < IPV6_MAX_EXTENSION_HEADERS; headers++) {
            if (protocol == PROTOCOL_TCP) {
                ByteBuffer payload = payload(packet, offset, totalLength);
                return TcpSegment.parse(timestampNanos, addresses, payload, totalLength - offset);
            }
            if (protocol == PROTOCOL_FRAGMENT && isFragmented(packet, offset)) {
                return readFragment(timestampNanos, addresses, packet, offset, totalLength);
            }
            int length = extensionLength(protocol, packet, offset);
            if (length == 0) {
                return dropNotTcp();
            }
            protocol = Byte.toUnsignedInt(packet.get(offset));
            offset += length;
        }
        return dropNotTcp();
    }

    /** A fragment header without offset and without more fragments belongs to a whole packet (RFC 6946). */
    private static boolean isFragmented(ByteBuffer packet, int offset) {
        int fragmentField = Short.toUnsignedInt(packet.getShort(offset + 2));
        return (fragmentField & (IPV6_FRAGMENT_OFFSET_MASK | IPV6_MORE_FRAGMENTS)) != 0;
    }

    private TcpSegment readFragment(
            long timestampNanos, IpAddresses addresses, ByteBuffer packet, int offset, int totalLength) {
        int payloadOffset = offset + IPV6_FRAGMENT_HEADER_BYTES;
        ByteBuffer payload = payload(packet, payloadOffset, totalLength);
        if (packet.get(offset) != PROTOCOL_TCP) {
            return dropNotTcp();
        }
        int fragmentField = Short.toUnsignedInt(packet.getShort(offset + 2));
        int identification = packet.getInt(offset + 4);
        return acceptFragment(
                timestampNanos,
                new IpFragment(
                        addresses,
                        identification,
                        fragmentField & IPV6_FRAGMENT_OFFSET_MASK,
                        (fragmentField & IPV6_MORE_FRAGMENTS) != 0,
                        payload,
                        totalLength - payloadOffset));
    }

    /** The length of an extension header, or 0 where the protocol is none. */
    private static int extensionLength(int protocol, ByteBuffer packet, int offset) {
        return switch (protocol) {
            case PROTOCOL_HOP_BY_HOP, PROTOCOL_ROUTING, PROTOCOL_DESTINATION_OPTIONS, PROTOCOL_MOBILITY ->
                8 + Byte.toUnsignedInt(packet.get(offset + 1)) * IPV6_EXTENSION_UNIT_BYTES;
            case PROTOCOL_AUTHENTICATION ->
                8 + Byte.toUnsignedInt(packet.get(offset + 1)) * IPV6_AUTHENTICATION_UNIT_BYTES;
            case PROTOCOL_FRAGMENT -> IPV6_FRAGMENT_HEADER_BYTES;
            default -> 0;
        };
    }

    private static ByteBuffer payload(ByteBuffer packet, int offset, int totalLength) {
        return packet.slice(offset, Math.min(totalLength, packet.limit()) - offset);
    }

    private TcpSegment dropNotTcp() {
        drops.count(DropCounters.Reason.NOT_TCP);
        return null;
    }

    private TcpSegment acceptFragment(long timestampNanos, IpFragment fragment) {
        dropExpired(timestampNanos);
        PacketKey key = new PacketKey(fragment.addresses(), fragment.identification());
        if (fragment.isTruncated() || fragment.end() > MAX_PAYLOAD_BYTES) {
            // The packet can't become complete any more.
            drops.count(DropCounters.Reason.FRAGMENTS);
            fragmented.remove(key);
            return null;
        }
        FragmentedPacket packet = fragmented.computeIfAbsent(key, absent -> new FragmentedPacket(timestampNanos));
        packet.add(fragment);
        byte[] whole = packet.reassemble();
        if (whole == null) {
            return null;
        }
        fragmented.remove(key);
        return TcpSegment.parse(timestampNanos, fragment.addresses(), ByteBuffer.wrap(whole), whole.length);
    }

    private void dropExpired(long nowNanos) {
        Iterator<FragmentedPacket> oldestFirst = fragmented.values().iterator();
        while (oldestFirst.hasNext()) {
            FragmentedPacket oldest = oldestFirst.next();
            if (fragmented.size() <= MAX_FRAGMENTED_PACKETS && oldest.ageNanos(nowNanos) < REASSEMBLY_TIMEOUT_NANOS) {
                return;
            }
            drops.count(DropCounters.Reason.FRAGMENTS);
            oldestFirst.remove();
        }
    }

    /** Counts the packets that never became complete, and forgets them. */
    void finish() {
        drops.add(DropCounters.Reason.FRAGMENTS, fragmented.size());
        fragmented.clear();
    }
}
