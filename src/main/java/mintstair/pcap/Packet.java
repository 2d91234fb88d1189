package mintstair.pcap;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/** One TCP segment of a packet; {@code missing} counts payload bytes that the capture left out at its end. */
record Packet(InetSocketAddress from, InetSocketAddress to, int sequence, int flags, byte[] payload, int missing) {
    static final int FIN = 1;
    static final int SYN = 2;
    static final int RST = 4;
    static final int PSH = 8;
    static final int ACK = 16;

    private static final int TCP = 6;

    /** The segment in a packet of this link type, or null where it holds none. */
    static Packet parse(int linkType, ByteBuffer data) {
        try {
            int head = switch (linkType) {
                case PcapReader.NULL -> 4;
                case PcapReader.ETHERNET -> ethernet(data);
                case PcapReader.RAW -> 0;
                case PcapReader.LINUX_COOKED -> 16;
                default -> -1;
            };
            if (head < 0 || head >= data.limit()) {
                return null;
            }
            data.position(head);
            int version = data.get(head) >> 4 & 15;
            return version == 4 ? ip4(data.slice()) : version == 6 ? ip6(data.slice()) : null;
        } catch (IndexOutOfBoundsException | IllegalArgumentException | UnknownHostException e) {
            // Cut short within its headers, or no such packet at all.
            return null;
        }
    }

    /** Where the IP packet begins, past any VLAN tags; -1 for other protocols. */
    private static int ethernet(ByteBuffer d) {
        int at = 12;
        while (d.getShort(at) == (short) 0x8100 || d.getShort(at) == (short) 0x88a8) {
            at += 4;
        }
        int type = d.getShort(at) & 0xffff;
        return type == 0x0800 || type == 0x86dd ? at + 2 : -1;
    }

    private static Packet ip4(ByteBuffer d) throws UnknownHostException {
        int head = (d.get(0) & 15) * 4;
        int total = d.getShort(2) & 0xffff;
        boolean fragment = (d.getShort(6) & 0x3fff) != 0;
        if (d.get(9) != TCP || fragment || head < 20) {
            return null;
        }
        // Captures on the sending machine may hold packets whose length is left to the network card.
        return tcp(d, head, total == 0 ? d.limit() : total, address(d, 12, 4), address(d, 16, 4));
    }

    private static Packet ip6(ByteBuffer d) throws UnknownHostException {
        if (d.get(6) != TCP) {
            return null;
        }
        return tcp(d, 40, 40 + (d.getShort(4) & 0xffff), address(d, 8, 16), address(d, 24, 16));
    }

    private static InetAddress address(ByteBuffer d, int at, int length) throws UnknownHostException {
        byte[] bytes = new byte[length];
        d.get(at, bytes);
        return InetAddress.getByAddress(bytes);
    }

    private static Packet tcp(ByteBuffer d, int at, int end, InetAddress from, InetAddress to) {
        int start = at + (d.get(at + 12) >> 4 & 15) * 4;
        if (start < at + 20 || start > end) {
            return null;
        }
        int there = Math.max(0, Math.min(end, d.limit()) - start);
        byte[] payload = new byte[there];
        if (there > 0) {
            d.get(start, payload);
        }
        return new Packet(new InetSocketAddress(from, d.getShort(at) & 0xffff),
            new InetSocketAddress(to, d.getShort(at + 2) & 0xffff), d.getInt(at + 4), d.get(at + 13) & 63, payload,
            end - start - there);
    }
}
