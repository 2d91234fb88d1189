package mintstair.pcap;

import java.nio.ByteBuffer;

/** Where the IP packet begins in a frame of a link type. Source: the registry of link-layer header types. */
final class Link {
    static final int NULL = 0;
    static final int ETHERNET = 1;
    static final int RAW = 101;
    static final int LOOP = 108;
    static final int LINUX_COOKED = 113;
    static final int RAW_4 = 228;
    static final int RAW_6 = 229;
    static final int LINUX_COOKED_2 = 276;
    /** Some systems' own numbers for raw IP. */
    private static final int RAW_BSD = 12;

    private static final int RAW_OPENBSD = 14;
    private static final int IP_4 = 0x0800;
    private static final int IP_6 = 0x86dd;

    private Link() {}

    /** Whether frames of this type are understood. */
    static boolean isKnown(int type) {
        return switch (type) {
            case NULL, ETHERNET, RAW, LOOP, LINUX_COOKED, RAW_4, RAW_6, LINUX_COOKED_2, RAW_BSD, RAW_OPENBSD -> true;
            default -> false;
        };
    }

    /** The IP packet in the frame, or null where it holds none; throws {@link IndexOutOfBoundsException} for one cut too short. */
    static ByteBuffer ip(int type, ByteBuffer d) {
        int at = switch (type) {
            case NULL, LOOP -> 4;
            case ETHERNET -> ether(d, 12);
            case LINUX_COOKED -> ether(d, 14);
            case LINUX_COOKED_2 ->
                isIp(d.getShort(0) & 0xffff) ? 20 : vlan(d.getShort(0) & 0xffff) ? ether(d, 20 + 2) : -1;
            default -> 0;
        };
        if (at < 0) {
            return null;
        }
        int version = d.get(at) >> 4 & 15;
        return version == 4 || version == 6 ? d.slice(at, d.limit() - at) : null;
    }

    private static boolean isIp(int type) {
        return type == IP_4 || type == IP_6;
    }

    private static boolean vlan(int type) {
        return type == 0x8100 || type == 0x88a8 || type == 0x9100;
    }

    /** Behind an Ethernet type at {@code at} and any VLAN tags; -1 for other protocols. */
    private static int ether(ByteBuffer d, int at) {
        int type = d.getShort(at) & 0xffff;
        while (vlan(type)) {
            at += 4;
            type = d.getShort(at) & 0xffff;
        }
        return isIp(type) ? at + 2 : -1;
    }
}
