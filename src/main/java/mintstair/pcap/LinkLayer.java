package mintstair.pcap;

import java.nio.ByteBuffer;

/** Finds the IP packet in a frame of a link-layer header type. Source: the registry of link-layer header types. */
final class LinkLayer {
    static final int NULL = 0;
    static final int ETHERNET = 1;
    static final int RAW = 101;
    static final int LOOP = 108;
    static final int LINUX_SLL = 113;
    static final int IPV4 = 228;
    static final int IPV6 = 229;
    static final int LINUX_SLL2 = 276;
    /** Numbers of raw IP that some systems used before 101 was registered. */
    private static final int RAW_BSD = 12;

    private static final int RAW_OPENBSD = 14;

    private static final int ETHERTYPE_IPV4 = 0x0800;
    private static final int ETHERTYPE_IPV6 = 0x86dd;
    private static final int ETHERTYPE_VLAN = 0x8100;
    private static final int ETHERTYPE_PROVIDER_VLAN = 0x88a8;
    private static final int ETHERTYPE_OLD_PROVIDER_VLAN = 0x9100;
    private static final int VLAN_TAG_BYTES = 4;

    private static final int ADDRESS_FAMILY_BYTES = 4;
    private static final int ETHERNET_TYPE_OFFSET = 12;
    private static final int SLL_PROTOCOL_OFFSET = 14;
    private static final int SLL2_PROTOCOL_OFFSET = 0;
    private static final int SLL2_HEADER_BYTES = 20;
    private static final int NO_IP = -1;

    private LinkLayer() {}

    /** Whether frames of this link type can be read. */
    static boolean isSupported(int linkType) {
        return switch (linkType) {
            case NULL, ETHERNET, RAW, LOOP, LINUX_SLL, IPV4, IPV6, LINUX_SLL2, RAW_BSD, RAW_OPENBSD -> true;
            default -> false;
        };
    }

    /**
     * Returns the IP packet in a frame of a supported link type, or null where the frame holds another protocol.
     *
     * @throws IndexOutOfBoundsException where the frame ends within its headers
     */
    static ByteBuffer ipPacket(int linkType, ByteBuffer frame) {
        int offset = ipOffset(linkType, frame);
        if (offset == NO_IP) {
            return null;
        }
        int version = frame.get(offset) >> 4 & 15;
        return version == 4 || version == 6 ? frame.slice(offset, frame.limit() - offset) : null;
    }

    private static int ipOffset(int linkType, ByteBuffer frame) {
        return switch (linkType) {
            case NULL, LOOP -> ADDRESS_FAMILY_BYTES;
            case ETHERNET -> behindEtherType(frame, ETHERNET_TYPE_OFFSET);
            case LINUX_SLL -> behindEtherType(frame, SLL_PROTOCOL_OFFSET);
            case LINUX_SLL2 -> behindSll2(frame);
            default -> 0;
        };
    }

    /** The protocol stands at the beginning of this header, and a VLAN's own type behind the header. */
    private static int behindSll2(ByteBuffer frame) {
        int protocol = Short.toUnsignedInt(frame.getShort(SLL2_PROTOCOL_OFFSET));
        if (isIp(protocol)) {
            return SLL2_HEADER_BYTES;
        }
        return isVlan(protocol) ? behindEtherType(frame, SLL2_HEADER_BYTES + 2) : NO_IP;
    }

    private static int behindEtherType(ByteBuffer frame, int typeOffset) {
        int offset = typeOffset;
        int type = Short.toUnsignedInt(frame.getShort(offset));
        while (isVlan(type)) {
            offset += VLAN_TAG_BYTES;
            type = Short.toUnsignedInt(frame.getShort(offset));
        }
        return isIp(type) ? offset + 2 : NO_IP;
    }

    private static boolean isIp(int etherType) {
        return etherType == ETHERTYPE_IPV4 || etherType == ETHERTYPE_IPV6;
    }

    private static boolean isVlan(int etherType) {
        return etherType == ETHERTYPE_VLAN
                || etherType == ETHERTYPE_PROVIDER_VLAN
                || etherType == ETHERTYPE_OLD_PROVIDER_VLAN;
    }
}
