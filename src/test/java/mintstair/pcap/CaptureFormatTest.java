package mintstair.pcap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Captures of every format, link type and kind of IP packet, whole and cut off. */
class CaptureFormatTest {
    private static final int UNFRAGMENTED = 0;
    private static final int FRAGMENT_BYTES = 16;
    private static final long MAX_TIMESTAMP_ERROR_NANOS = 60_000_000;
    private static final String REQUEST = new String(CaptureFixtures.REQUEST, StandardCharsets.US_ASCII);
    private static final String RESPONSE = new String(CaptureFixtures.RESPONSE, StandardCharsets.US_ASCII);

    @TempDir
    Path folder;

    static Stream<Arguments> linkTypesAndPackets() {
        IntStream linkTypes = IntStream.of(
                LinkLayer.NULL,
                LinkLayer.ETHERNET,
                LinkLayer.RAW,
                LinkLayer.LOOP,
                LinkLayer.LINUX_SLL,
                LinkLayer.LINUX_SLL2,
                LinkLayer.IPV4,
                LinkLayer.IPV6,
                12);
        return linkTypes
                .boxed()
                .flatMap(linkType -> Stream.of(
                        Arguments.of(linkType, 4, UNFRAGMENTED),
                        Arguments.of(linkType, 4, FRAGMENT_BYTES),
                        Arguments.of(linkType, 6, UNFRAGMENTED),
                        Arguments.of(linkType, 6, FRAGMENT_BYTES)));
    }

    @ParameterizedTest(name = "link type {0}, IP version {1}, fragments of {2} bytes")
    @MethodSource("linkTypesAndPackets")
    void everyFormatIsRead(int linkType, int ipVersion, int fragmentBytes) throws IOException {
        List<byte[]> frames = frames(linkType, ipVersion, fragmentBytes);
        long[] timestamps = CaptureFixtures.timestamps(frames.size());
        for (byte[] capture : everyFormat(linkType, frames, timestamps)) {
            RecordedFlows recorded = RecordedFlows.ofCapture(capture);

            assertEquals("", recorded.drops.toString());
            assertEquals(REQUEST, recorded.clientText(0));
            assertEquals(RESPONSE, recorded.serverText(0));
            long errorNanos = Math.abs(recorded.flows.get(0).openedNanos - timestamps[0]);
            assertTrue(errorNanos < MAX_TIMESTAMP_ERROR_NANOS, "off by " + errorNanos + " ns");
        }
    }

    private static List<byte[]> frames(int linkType, int ipVersion, int fragmentBytes) {
        List<byte[]> frames = new ArrayList<>();
        int identification = 0;
        for (byte[] segment : CaptureFixtures.requestAndResponse(new Random(linkType))) {
            boolean fromClient = CaptureFixtures.isFromClient(segment);
            List<byte[]> packets = ipVersion == 6
                    ? CaptureFixtures.ipv6Packets(fromClient, identification, segment, fragmentBytes)
                    : CaptureFixtures.ipv4Packets(fromClient, identification, segment, fragmentBytes);
            for (byte[] packet : packets) {
                frames.add(CaptureFixtures.frame(linkType, packet, identification % 3));
            }
            identification++;
        }
        return frames;
    }

    private static List<byte[]> everyFormat(int linkType, List<byte[]> frames, long[] timestamps) {
        List<byte[]> captures = new ArrayList<>();
        for (ByteOrder order : List.of(ByteOrder.BIG_ENDIAN, ByteOrder.LITTLE_ENDIAN)) {
            for (boolean nanos : new boolean[] {false, true}) {
                captures.add(CaptureFixtures.classicPcap(
                        order, nanos, linkType, CaptureFixtures.NO_SNAPSHOT_LIMIT, frames, timestamps));
            }
            for (int resolution : new int[] {6, 9, 0x80 | 20}) {
                captures.add(CaptureFixtures.pcapNg(order, linkType, resolution, frames, timestamps));
            }
        }
        return captures;
    }

    /** Cut at every byte: what came before is read, and never a byte that was not sent. */
    @Test
    void cutOffFileGivesWhatCameBefore() throws IOException {
        List<byte[]> packets = CaptureFixtures.ipv4Packets(CaptureFixtures.requestAndResponse(new Random(2)));
        long[] timestamps = CaptureFixtures.timestamps(packets.size());
        List<byte[]> captures = List.of(
                CaptureFixtures.rawIpPcap(packets),
                CaptureFixtures.pcapNg(ByteOrder.BIG_ENDIAN, LinkLayer.RAW, 6, packets, timestamps));
        for (byte[] capture : captures) {
            int lengthBefore = 0;
            for (int cut = 24; cut <= capture.length; cut++) {
                String text =
                        RecordedFlows.ofCapture(Arrays.copyOf(capture, cut)).clientText(0);

                assertTrue(REQUEST.startsWith(text) && text.length() >= lengthBefore, cut + ": " + text);
                lengthBefore = text.length();
            }
            assertEquals(REQUEST.length(), lengthBefore);
        }
    }

    @Test
    void frameCutBySnapshotLengthEndsItsStream() throws IOException {
        byte[] moreData = CaptureFixtures.clientData(100 + CaptureFixtures.REQUEST.length, "more");
        List<byte[]> packets = CaptureFixtures.ipv4Packets(
                List.of(CaptureFixtures.clientSyn(99), CaptureFixtures.clientData(100, REQUEST), moreData));
        byte[] capture = CaptureFixtures.classicPcap(
                ByteOrder.BIG_ENDIAN, false, LinkLayer.RAW, 50, packets, CaptureFixtures.timestamps(3));

        RecordedFlows recorded = RecordedFlows.ofCapture(capture);

        assertEquals(REQUEST.substring(0, 10), recorded.clientText(0));
        assertEquals("snapped=1", recorded.drops.toString());
    }

    @Test
    void filesOfSeveralProxiesAreMergedByTime() throws IOException {
        List<Path> files = List.of(writeFileOfProxy(0), writeFileOfProxy(1));

        RecordedFlows recorded = RecordedFlows.ofFiles(files, true);

        List<String> inOrder =
                recorded.flows.stream().map(RecordedFlows.Flow::clientText).toList();
        assertEquals("[p0c0, p1c0, p0c1, p1c1, p0c2, p1c2, p0c3, p1c3, p0c4, p1c4]", inOrder.toString());
    }

    /** Five connections, half a millisecond later for each proxy. */
    private Path writeFileOfProxy(int proxy) throws IOException {
        List<byte[]> segments = new ArrayList<>();
        for (int connection = 0; connection < 5; connection++) {
            int port = 1_000 + 10 * connection + proxy;
            byte[] text = ("p" + proxy + "c" + connection).getBytes(StandardCharsets.US_ASCII);
            segments.add(CaptureFixtures.tcpSegment(true, port, 99, 0, TcpSegment.SYN, new byte[0]));
            segments.add(CaptureFixtures.tcpSegment(true, port, 100, 0, 0, text));
        }
        long[] timestamps = CaptureFixtures.timestamps(segments.size());
        for (int i = 0; i < timestamps.length; i++) {
            timestamps[i] += proxy * 500_000L;
        }
        byte[] capture = CaptureFixtures.classicPcap(
                ByteOrder.LITTLE_ENDIAN,
                true,
                LinkLayer.RAW,
                CaptureFixtures.NO_SNAPSHOT_LIMIT,
                CaptureFixtures.ipv4Packets(segments),
                timestamps);
        return Files.write(folder.resolve("proxy" + proxy + ".pcap"), capture);
    }
}
