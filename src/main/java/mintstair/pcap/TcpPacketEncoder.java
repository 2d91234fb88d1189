package mintstair.pcap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Encodes the bytes of one connection as packet records of a classic pcap file with raw IP: a TCP connection with
 * handshake, acknowledgments and checksums, so that other tools read it like a capture. Times are Unix
 * microseconds. Not safe for use by several threads.
 */
final class TcpPacketEncoder {
    /** Takes packet records, each whole. */
    @FunctionalInterface
    interface Output {
        /** Takes one packet record with its header. */
        void write(byte[] packetRecord) throws IOException;
    }

    private static final int SNAPSHOT_LENGTH = 65_535;
    private static final int FILE_HEADER_BYTES = 24;
    private static final short VERSION_MAJOR = 2;
    private static final short VERSION_MINOR = 4;

    private static final int RECORD_HEADER_BYTES = 16;
    private static final int IPV4_HEADER_BYTES = 20;
    private static final int IPV4_CHECKSUM_OFFSET = 10;
    private static final short IPV4_VERSION_AND_LENGTH = 0x4500;
    private static final int IPV4_DONT_FRAGMENT = 0x4000;
    private static final int IPV6_HEADER_BYTES = 40;
    private static final int IPV6_VERSION = 0x60000000;
    private static final byte HOP_LIMIT = 64;
    private static final byte PROTOCOL_TCP = 6;

    private static final int TCP_HEADER_BYTES = TcpSegment.MIN_HEADER_BYTES;
    private static final int TCP_CHECKSUM_OFFSET = 16;
    private static final int TCP_DATA_OFFSET = (TCP_HEADER_BYTES / Integer.BYTES) << 12;
    private static final short TCP_WINDOW = (short) 0xffff;
    private static final int MAX_SEGMENT_BYTES = 16_384;
    private static final byte[] NO_PAYLOAD = new byte[0];

    private final InetSocketAddress client;
    private final InetSocketAddress server;
    private final Output output;
    private int clientSequence = 1;
    private int serverSequence = 1;

    TcpPacketEncoder(InetSocketAddress client, InetSocketAddress server, Output output) {
        this.client = client;
        this.server = server;
        this.output = output;
    }

    /** The header of a file of such records. */
    static byte[] fileHeader() {
        return ByteBuffer.allocate(FILE_HEADER_BYTES)
                .putInt(ClassicPcapReader.MAGIC_MICROS)
                .putShort(VERSION_MAJOR)
                .putShort(VERSION_MINOR)
                .putInt(0)
                .putInt(0)
                .putInt(SNAPSHOT_LENGTH)
                .putInt(LinkLayer.RAW)
                .array();
    }

    /** Writes the handshake. */
    void open(long timeMicros) throws IOException {
        write(timeMicros, true, TcpSegment.SYN, 0, 0, NO_PAYLOAD);
        write(timeMicros, false, TcpSegment.SYN | TcpSegment.ACK, 0, 1, NO_PAYLOAD);
        write(timeMicros, true, TcpSegment.ACK, 1, 1, NO_PAYLOAD);
    }

    /** Writes bytes that one side sent, in as many segments as they take. */
    void send(long timeMicros, boolean fromClient, byte[] bytes) throws IOException {
        for (int from = 0; from < bytes.length; from += MAX_SEGMENT_BYTES) {
            byte[] payload = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + MAX_SEGMENT_BYTES));
            int sequence = fromClient ? clientSequence : serverSequence;
            int acknowledgment = fromClient ? serverSequence : clientSequence;
            write(timeMicros, fromClient, TcpSegment.PSH | TcpSegment.ACK, sequence, acknowledgment, payload);
            skip(fromClient, payload.length);
        }
    }

    /** Advances the sequence number of one side by bytes that are not written: a reader of the file finds a gap. */
    void skip(boolean fromClient, int length) {
        if (fromClient) {
            clientSequence += length;
        } else {
            serverSequence += length;
        }
    }

    /** Writes the FINs of both sides. */
    void close(long timeMicros) throws IOException {
        int finAndAck = TcpSegment.FIN | TcpSegment.ACK;
        write(timeMicros, true, finAndAck, clientSequence, serverSequence, NO_PAYLOAD);
        write(timeMicros, false, finAndAck, serverSequence, clientSequence + 1, NO_PAYLOAD);
        write(timeMicros, true, TcpSegment.ACK, clientSequence + 1, serverSequence + 1, NO_PAYLOAD);
    }

    private void write(long timeMicros, boolean fromClient, int flags, int sequence, int acknowledgment, byte[] payload)
            throws IOException {
        InetSocketAddress source = fromClient ? client : server;
        InetSocketAddress destination = fromClient ? server : client;
        int addressBytes = source.getAddress().getAddress().length;
        int ipHeaderBytes = addressBytes == 4 ? IPV4_HEADER_BYTES : IPV6_HEADER_BYTES;
        int tcpBytes = TCP_HEADER_BYTES + payload.length;
        ByteBuffer packet = ByteBuffer.allocate(RECORD_HEADER_BYTES + ipHeaderBytes + tcpBytes);
        putRecordHeader(packet, timeMicros, ipHeaderBytes + tcpBytes);
        putIpHeader(packet, source, destination, tcpBytes);
        int tcpStart = packet.position();
        packet.putShort((short) source.getPort())
                .putShort((short) destination.getPort())
                .putInt(sequence)
                .putInt(acknowledgment)
                .putShort((short) (TCP_DATA_OFFSET | flags))
                .putShort(TCP_WINDOW)
                .putInt(0)
                .put(payload);
        // The checksum covers the addresses, which stand before the segment in either version, its protocol and length.
        int checksumStart = tcpStart - 2 * addressBytes;
        short checksum = checksum(packet, checksumStart, 2 * addressBytes + tcpBytes, PROTOCOL_TCP + tcpBytes);
        packet.putShort(tcpStart + TCP_CHECKSUM_OFFSET, checksum);
        output.write(packet.array());
    }

    private static void putRecordHeader(ByteBuffer packet, long timeMicros, int length) {
        packet.putInt((int) (timeMicros / 1_000_000))
                .putInt((int) (timeMicros % 1_000_000))
                .putInt(length)
                .putInt(length);
    }

    private static void putIpHeader(
            ByteBuffer packet, InetSocketAddress source, InetSocketAddress destination, int tcpBytes) {
        byte[] sourceAddress = source.getAddress().getAddress();
        byte[] destinationAddress = destination.getAddress().getAddress();
        if (sourceAddress.length != 4) {
            packet.putInt(IPV6_VERSION)
                    .putShort((short) tcpBytes)
                    .put(PROTOCOL_TCP)
                    .put(HOP_LIMIT)
                    .put(sourceAddress)
                    .put(destinationAddress);
            return;
        }
        int start = packet.position();
        packet.putShort(IPV4_VERSION_AND_LENGTH)
                .putShort((short) (IPV4_HEADER_BYTES + tcpBytes))
                .putInt(IPV4_DONT_FRAGMENT)
                .put(HOP_LIMIT)
                .put(PROTOCOL_TCP)
                .putShort((short) 0)
                .put(sourceAddress)
                .put(destinationAddress);
        packet.putShort(start + IPV4_CHECKSUM_OFFSET, checksum(packet, start, IPV4_HEADER_BYTES, 0));
    }

    /** The Internet checksum (RFC 1071) of some bytes and a sum of what else it covers. */
    private static short checksum(ByteBuffer packet, int from, int length, long initialSum) {
        long sum = initialSum;
        for (int i = 0; i < length; i++) {
            int shift = i % 2 == 0 ? Byte.SIZE : 0;
            sum += Byte.toUnsignedLong(packet.get(from + i)) << shift;
        }
        while (sum > 0xffff) {
            sum = (sum & 0xffff) + (sum >> Short.SIZE);
        }
        return (short) ~sum;
    }
}
