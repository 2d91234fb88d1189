package mintstair.pcap;

import static mintstair.pcap.CaptureFixtures.clientData;
import static mintstair.pcap.CaptureFixtures.clientSegment;
import static mintstair.pcap.CaptureFixtures.clientSyn;
import static mintstair.pcap.CaptureFixtures.serverData;
import static mintstair.pcap.CaptureFixtures.serverSyn;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** TCP as captures have it: out of order, retransmitted, overlapping, with gaps, and without its beginning. */
class TcpReassemblyTest {
    private static final String REQUEST = new String(CaptureFixtures.REQUEST, StandardCharsets.US_ASCII);
    private static final byte[] NO_PAYLOAD = new byte[0];

    /** All orders of the segments of a small stream, of which one overlaps two others and one comes twice. */
    @Test
    void everyOrderOfSegmentsGivesTheSameStream() throws IOException {
        List<byte[]> segments = List.of(
                clientData(100, "012"),
                clientData(103, "34"),
                clientData(102, "23456"),
                clientData(107, "78"),
                clientData(109, "9"),
                clientData(107, "78"));
        List<List<byte[]>> orders = permutations(segments);
        assertEquals(720, orders.size());
        for (List<byte[]> order : orders) {
            List<byte[]> connection = new ArrayList<>(List.of(clientSyn(99)));
            connection.addAll(order);

            RecordedFlows recorded = RecordedFlows.ofSegments(connection);

            assertEquals("0123456789", recorded.clientText(0));
            assertEquals("", recorded.drops.toString());
        }
    }

    private static List<List<byte[]>> permutations(List<byte[]> segments) {
        if (segments.isEmpty()) {
            return List.of(List.of());
        }
        List<List<byte[]>> permutations = new ArrayList<>();
        for (int i = 0; i < segments.size(); i++) {
            List<byte[]> rest = new ArrayList<>(segments);
            byte[] first = rest.remove(i);
            for (List<byte[]> permutation : permutations(rest)) {
                List<byte[]> joined = new ArrayList<>(List.of(first));
                joined.addAll(permutation);
                permutations.add(joined);
            }
        }
        return permutations;
    }

    @Test
    void firstCopyIsUsedWhereRetransmittedBytesDiffer() throws IOException {
        RecordedFlows recorded = RecordedFlows.ofSegments(List.of(
                clientSyn(99),
                clientData(103, "DEF"),
                clientData(101, "bcXXX"),
                clientData(100, "a"),
                clientData(100, "Z")));

        assertEquals("abcDEF", recorded.clientText(0));
        assertEquals(2, recorded.drops.get(DropCounters.Reason.OTHER_BYTES));
    }

    @Test
    void sequenceNumbersWrap() throws IOException {
        List<byte[]> segments = new ArrayList<>(List.of(clientSyn(-31)));
        for (int from = 0; from < REQUEST.length(); from += 7) {
            segments.add(clientData(-30 + from, REQUEST.substring(from, Math.min(REQUEST.length(), from + 7))));
        }
        Collections.swap(segments, 1, segments.size() - 1);

        assertEquals(REQUEST, RecordedFlows.ofSegments(segments).clientText(0));
    }

    @Test
    void streamWithoutSynBeginsWithItsFirstData() throws IOException {
        List<byte[]> segments = CaptureFixtures.randomSegments(true, 7_000, CaptureFixtures.REQUEST, new Random(1));

        assertEquals(REQUEST, RecordedFlows.ofSegments(segments).clientText(0));
    }

    @Test
    void streamEndsWhereTheCaptureLacksAcknowledgedBytes() throws IOException {
        RecordedFlows recorded = RecordedFlows.ofSegments(List.of(
                clientSyn(99),
                serverSyn(499),
                clientData(100, "ab"),
                clientData(104, "ef"),
                serverData(500, 106, "x"),
                clientData(106, "gh"),
                serverData(501, 106, "y")));

        assertEquals("ab", recorded.clientText(0));
        assertEquals("xy", recorded.serverText(0), "the other direction goes on");
        assertEquals("missing=1", recorded.drops.toString());
        assertEquals(
                1, recorded.flows.stream().mapToInt(flow -> flow.lostStreams).sum());
    }

    @Test
    void portsUsedAgainAreAnotherConnection() throws IOException {
        RecordedFlows recorded = RecordedFlows.ofSegments(List.of(
                clientSyn(99),
                clientData(100, "one"),
                clientSyn(99_000),
                clientData(99_001, "two"),
                clientSegment(99_004, TcpSegment.RST, NO_PAYLOAD),
                clientSyn(5_000),
                clientData(5_001, "three"),
                clientSegment(5_006, TcpSegment.FIN, NO_PAYLOAD)));

        List<String> texts =
                recorded.flows.stream().map(RecordedFlows.Flow::clientText).toList();
        assertEquals(List.of("one", "two", "three"), texts);
        assertEquals(3, recorded.flows.stream().filter(flow -> flow.closed).count());
    }

    @Test
    void bytesThatOneStreamBuffersAreBounded() throws IOException {
        List<byte[]> segments = new ArrayList<>(List.of(clientSyn(99)));
        for (int i = 0; i < 40; i++) {
            segments.add(clientSegment(200 + i * 30_000, 0, new byte[30_000]));
        }

        RecordedFlows recorded = RecordedFlows.ofSegments(segments);

        assertEquals(1, recorded.drops.get(DropCounters.Reason.STREAM_FULL));
    }

    @Test
    void bytesThatAllStreamsBufferAreBounded() throws IOException {
        byte[] payload = new byte[30_000];
        List<byte[]> segments = new ArrayList<>();
        for (int connection = 0; connection < 80; connection++) {
            int port = 1_000 + connection;
            segments.add(CaptureFixtures.tcpSegment(true, port, 99, 0, TcpSegment.SYN, NO_PAYLOAD));
            for (int i = 1; i < 32; i++) {
                segments.add(CaptureFixtures.tcpSegment(true, port, 200 + i * 30_000, 0, 0, payload));
            }
        }

        RecordedFlows recorded = RecordedFlows.ofSegments(segments);

        assertTrue(recorded.drops.get(DropCounters.Reason.ALL_FULL) > 0);
    }
}
