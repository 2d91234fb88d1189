package mintstair.pcap;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.LongUnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Captures of every format and link type, and TCP as captures have it: late, again, overlapping, cut, and without its beginning. */
class CaptureTest {
    private static final byte[] ASKED =
            "the quick brown fox asks for a page of the list, and for another one".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] GIVEN = "and is given what there is of it".getBytes(StandardCharsets.US_ASCII);

    /** What connections said, as the capture shows them. */
    private static final class Heard implements Connections.Listener {
        final List<ByteArrayOutputStream> client = new ArrayList<>();
        final List<ByteArrayOutputStream> server = new ArrayList<>();
        final Losses losses = new Losses();
        final List<Long> opened = new ArrayList<>();
        int ended;
        int lost;

        @Override
        public Connections.Connection opened(
                long nanos, InetSocketAddress from, InetSocketAddress to, boolean fromStart) {
            int n = client.size();
            opened.add(nanos);
            client.add(new ByteArrayOutputStream());
            server.add(new ByteArrayOutputStream());
            return new Connections.Connection() {
                @Override
                public void said(long at, boolean byClient, byte[] bytes, int begin, int end) {
                    (byClient ? client : server).get(n).write(bytes, begin, end - begin);
                }

                @Override
                public void lost(long at, boolean byClient) {
                    lost++;
                }

                @Override
                public void ended(long at) {
                    ended++;
                }
            };
        }

        String asked(int n) {
            return client.size() > n ? client.get(n).toString(StandardCharsets.US_ASCII) : "";
        }
    }

    /** Reads a capture from memory: a file for each of some thousand captures took most of the time of these tests. */
    private static Heard hear(byte[] file) throws IOException {
        Heard heard = new Heard();
        Connections.readSources(
                List.of(() -> new ByteArrayInputStream(file)),
                false,
                LongUnaryOperator::identity,
                port -> port == Frames.PORT,
                heard,
                heard.losses);
        return heard;
    }

    private static byte[] tcp(int sequence, int flags, byte[] payload) {
        return Frames.tcp(true, 40000, sequence, 0, flags, payload);
    }

    private static Heard hearSegments(List<byte[]> segments) throws IOException {
        List<byte[]> frames = new ArrayList<>();
        for (int i = 0; i < segments.size(); i++) {
            frames.addAll(Frames.ip4(segments.get(i)[2] == (byte) (Frames.PORT >> 8), i, segments.get(i), 0));
        }
        return hear(
                Frames.classic(ByteOrder.LITTLE_ENDIAN, false, Link.RAW, 65535, frames, Frames.times(frames.size())));
    }

    private static List<byte[]> conversation(Random dice) {
        List<byte[]> segments = new ArrayList<>();
        segments.add(tcp(99, Segment.SYN, new byte[0]));
        segments.add(Frames.tcp(false, 40000, 499, 0, Segment.SYN, new byte[0]));
        segments.addAll(Frames.segments(true, 40000, 100, ASKED, dice));
        segments.addAll(Frames.segments(false, 40000, 500, GIVEN, dice));
        return segments;
    }

    @Example
    void everyFormatLinkTypeAndKindOfPacketIsRead() throws IOException {
        int[] links = {
            Link.NULL,
            Link.ETHERNET,
            Link.RAW,
            Link.LOOP,
            Link.LINUX_COOKED,
            Link.LINUX_COOKED_2,
            Link.RAW_4,
            Link.RAW_6,
            12
        };
        for (int link : links) {
            for (boolean six : new boolean[] {false, true}) {
                for (int piece : new int[] {0, 16}) {
                    List<byte[]> frames = new ArrayList<>();
                    int id = 0;
                    for (byte[] segment : conversation(new Random(link))) {
                        boolean byClient = segment[2] == (byte) (Frames.PORT >> 8);
                        for (byte[] packet : six
                                ? Frames.ip6(byClient, id, segment, piece)
                                : Frames.ip4(byClient, id, segment, piece)) {
                            frames.add(Frames.frame(link, packet, id % 3));
                        }
                        id++;
                    }
                    long[] times = Frames.times(frames.size());
                    List<byte[]> files = new ArrayList<>();
                    for (ByteOrder order : List.of(ByteOrder.BIG_ENDIAN, ByteOrder.LITTLE_ENDIAN)) {
                        files.add(Frames.classic(order, false, link, 65535, frames, times));
                        files.add(Frames.classic(order, true, link, 65535, frames, times));
                        files.add(Frames.ng(order, link, 6, frames, times));
                        files.add(Frames.ng(order, link, 9, frames, times));
                        files.add(Frames.ng(order, link, 0x80 | 20, frames, times));
                    }
                    for (byte[] file : files) {
                        Heard heard = hear(file);
                        String what = "link " + link + " six " + six + " pieces of " + piece + ": " + heard.losses;
                        assertEquals(new String(ASKED), heard.asked(0), what);
                        assertArrayEquals(GIVEN, heard.server.get(0).toByteArray(), what);
                        assertEquals("", heard.losses.toString(), what);
                        assertTrue(Math.abs(heard.opened.get(0) - times[0]) < 60_000_000, what);
                    }
                }
            }
        }
    }

    /** All orders of the segments of a small stream, of which one overlaps two others and one comes twice. */
    @Example
    void everyOrderOfASmallStreamGivesTheSame() throws IOException {
        byte[] said = "0123456789".getBytes();
        List<byte[]> segments = List.of(
                tcp(100, 0, Arrays.copyOfRange(said, 0, 3)),
                tcp(103, 0, Arrays.copyOfRange(said, 3, 5)),
                tcp(102, 0, Arrays.copyOfRange(said, 2, 7)),
                tcp(107, 0, Arrays.copyOfRange(said, 7, 9)),
                tcp(109, 0, Arrays.copyOfRange(said, 9, 10)),
                tcp(107, 0, Arrays.copyOfRange(said, 7, 9)));
        List<Integer> order = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
        int seen = permute(order, 0, segments, "0123456789");
        assertEquals(720, seen);
    }

    private int permute(List<Integer> order, int from, List<byte[]> segments, String wanted) throws IOException {
        if (from == order.size()) {
            List<byte[]> all = new ArrayList<>(List.of(tcp(99, Segment.SYN, new byte[0])));
            order.forEach(i -> all.add(segments.get(i)));
            Heard heard = hearSegments(all);
            assertEquals(wanted, heard.asked(0), order.toString());
            assertEquals("", heard.losses.toString(), order.toString());
            return 1;
        }
        int seen = 0;
        for (int i = from; i < order.size(); i++) {
            Collections.swap(order, from, i);
            seen += permute(order, from + 1, segments, wanted);
            Collections.swap(order, from, i);
        }
        return seen;
    }

    @Example
    void whatWasFirstStandsWhereBytesComeAgainAsOthers() throws IOException {
        Heard heard = hearSegments(List.of(
                tcp(99, Segment.SYN, new byte[0]),
                tcp(103, 0, "DEF".getBytes()),
                tcp(101, 0, "bcXXX".getBytes()),
                tcp(100, 0, "a".getBytes()),
                tcp(100, 0, "Z".getBytes())));
        assertEquals("abcDEF", heard.asked(0));
        assertEquals(2, heard.losses.of(Losses.Reason.OTHER_BYTES));
    }

    @Example
    void sequenceNumbersWrap() throws IOException {
        List<byte[]> segments = new ArrayList<>(List.of(tcp(-31, Segment.SYN, new byte[0])));
        for (int at = 0; at < ASKED.length; at += 7) {
            segments.add(tcp(-30 + at, 0, Arrays.copyOfRange(ASKED, at, Math.min(ASKED.length, at + 7))));
        }
        Collections.swap(segments, 1, segments.size() - 1);
        assertEquals(new String(ASKED), hearSegments(segments).asked(0));
    }

    @Example
    void aStreamBegunInTheMiddleStartsWithItsFirstData() throws IOException {
        Heard heard = hearSegments(Frames.segments(true, 40000, 7_000, ASKED, new Random(1)));
        assertEquals(new String(ASKED), heard.asked(0));
    }

    @Example
    void aStreamEndsWhereTheCaptureMissesWhatItsReceiverHad() throws IOException {
        Heard heard = hearSegments(List.of(
                tcp(99, Segment.SYN, new byte[0]),
                Frames.tcp(false, 40000, 499, 0, Segment.SYN, new byte[0]),
                tcp(100, 0, "ab".getBytes()),
                tcp(104, 0, "ef".getBytes()),
                Frames.tcp(false, 40000, 500, 106, Segment.ACK, "x".getBytes()),
                tcp(106, 0, "gh".getBytes()),
                Frames.tcp(false, 40000, 501, 106, Segment.ACK, "y".getBytes())));
        assertEquals("ab", heard.asked(0));
        assertEquals("xy", heard.server.get(0).toString(), "the other direction goes on");
        assertEquals("missing=1", heard.losses.toString());
        assertEquals(1, heard.lost);
    }

    @Example
    void aSnappedFrameEndsItsStream() throws IOException {
        List<byte[]> frames = new ArrayList<>();
        frames.addAll(Frames.ip4(true, 1, tcp(99, Segment.SYN, new byte[0]), 0));
        frames.addAll(Frames.ip4(true, 2, tcp(100, 0, ASKED), 0));
        frames.addAll(Frames.ip4(true, 3, tcp(100 + ASKED.length, 0, "more".getBytes()), 0));
        Heard heard = hear(Frames.classic(ByteOrder.BIG_ENDIAN, false, Link.RAW, 50, frames, Frames.times(3)));
        assertEquals(new String(ASKED, 0, 10), heard.asked(0));
        assertEquals("snapped=1", heard.losses.toString());
    }

    /** Two proxies' files, each with a clock of its own: frames come in the order of the repaired times. */
    @Example
    void filesOfSeveralProxiesAreMergedByTime() throws IOException {
        List<Path> files = new ArrayList<>();
        for (int proxy = 0; proxy < 2; proxy++) {
            List<byte[]> frames = new ArrayList<>();
            for (int c = 0; c < 5; c++) {
                frames.addAll(Frames.ip4(
                        true, c, Frames.tcp(true, 1_000 + 10 * c + proxy, 99, 0, Segment.SYN, new byte[0]), 0));
                frames.addAll(Frames.ip4(
                        true,
                        c,
                        Frames.tcp(true, 1_000 + 10 * c + proxy, 100, 0, 0, ("p" + proxy + "c" + c).getBytes()),
                        0));
            }
            long[] times = Frames.times(frames.size());
            for (int i = 0; i < times.length; i++) {
                times[i] += proxy * 500_000;
            }
            files.add(Files.write(
                    Files.createTempFile("mintstair", ".pcap"),
                    Frames.classic(ByteOrder.LITTLE_ENDIAN, true, Link.RAW, 65535, frames, times)));
        }
        Heard heard = new Heard();
        Connections.read(files, true, LongUnaryOperator::identity, port -> port == Frames.PORT, heard, heard.losses);
        List<String> order = new ArrayList<>();
        for (int i = 0; i < heard.client.size(); i++) {
            order.add(heard.asked(i));
        }
        assertEquals("[p0c0, p1c0, p0c1, p1c1, p0c2, p1c2, p0c3, p1c3, p0c4, p1c4]", order.toString());
        for (Path file : files) {
            Files.delete(file);
        }
    }

    @Example
    void portsUsedAgainAreAnotherConnection() throws IOException {
        Heard heard = hearSegments(List.of(
                tcp(99, Segment.SYN, new byte[0]),
                tcp(100, 0, "one".getBytes()),
                tcp(99_000, Segment.SYN, new byte[0]),
                tcp(99_001, 0, "two".getBytes()),
                tcp(99_004, Segment.RST, new byte[0]),
                tcp(5_000, Segment.SYN, new byte[0]),
                tcp(5_001, 0, "three".getBytes()),
                tcp(5_006, Segment.FIN, new byte[0])));
        assertEquals("one two three", heard.asked(0) + " " + heard.asked(1) + " " + heard.asked(2));
        assertEquals(3, heard.ended);
    }

    @Example
    void whatWaitsForAGapIsBounded() throws IOException {
        List<byte[]> segments = new ArrayList<>(List.of(tcp(99, Segment.SYN, new byte[0])));
        for (int i = 0; i < 40; i++) {
            segments.add(tcp(200 + i * 30_000, 0, new byte[30_000]));
        }
        assertEquals(1, hearSegments(segments).losses.of(Losses.Reason.STREAM_FULL));
        List<byte[]> many = new ArrayList<>();
        for (int c = 0; c < 80; c++) {
            for (int i = 0; i < 32; i++) {
                many.add(Frames.tcp(
                        true,
                        1_000 + c,
                        i == 0 ? 99 : 200 + i * 30_000,
                        0,
                        i == 0 ? Segment.SYN : 0,
                        new byte[i == 0 ? 0 : 30_000]));
            }
        }
        assertTrue(hearSegments(many).losses.of(Losses.Reason.ALL_FULL) > 0);
    }

    /** Cut at every byte: what came before stands, and never a byte that was not said. */
    @Example
    void aFileThatEndsAnywhereGivesWhatCameBefore() throws IOException {
        List<byte[]> frames = new ArrayList<>();
        int id = 0;
        for (byte[] segment : conversation(new Random(2))) {
            frames.addAll(Frames.ip4(segment[2] == (byte) (Frames.PORT >> 8), id++, segment, 0));
        }
        for (byte[] file : List.of(
                Frames.classic(ByteOrder.LITTLE_ENDIAN, false, Link.RAW, 65535, frames, Frames.times(id)),
                Frames.ng(ByteOrder.BIG_ENDIAN, Link.RAW, 6, frames, Frames.times(id)))) {
            int before = 0;
            for (int n = 24; n <= file.length; n++) {
                Heard heard = hear(Arrays.copyOf(file, n));
                String asked = heard.asked(0);
                assertTrue(new String(ASKED).startsWith(asked) && asked.length() >= before, n + ": " + asked);
                before = asked.length();
            }
            assertEquals(ASKED.length, before);
        }
    }

    @Property(seed = "5", tries = 500)
    void garbageIsRefusedOrPassedOver(@ForAll @Size(max = 300) byte[] garbage, @ForAll Random dice) throws IOException {
        IpPackets packets = new IpPackets(new Losses());
        for (int link : new int[] {0, 1, 101, 108, 113, 276}) {
            try {
                java.nio.ByteBuffer ip = Link.ip(link, java.nio.ByteBuffer.wrap(garbage));
                if (ip != null) {
                    packets.take(1, ip);
                }
            } catch (IndexOutOfBoundsException e) {
                // Too short, as the reader takes it.
            }
        }
        List<byte[]> frames = new ArrayList<>();
        int id = 0;
        for (byte[] segment : conversation(dice)) {
            frames.addAll(Frames.ip4(segment[2] == (byte) (Frames.PORT >> 8), id++, segment, 8 * dice.nextInt(3)));
        }
        for (byte[] file : List.of(
                Frames.classic(ByteOrder.LITTLE_ENDIAN, true, Link.RAW, 65535, frames, Frames.times(frames.size())),
                Frames.ng(ByteOrder.LITTLE_ENDIAN, Link.RAW, 6, frames, Frames.times(frames.size())))) {
            byte[] spoilt = file.clone();
            for (int i = 0; i < garbage.length / 10; i++) {
                spoilt[24 + dice.nextInt(spoilt.length - 24)] = garbage[i];
            }
            hear(spoilt);
        }
        if (garbage.length < 4 || garbage[0] != 0x0a) {
            assertThrows(IOException.class, () -> Capture.open(new ByteArrayInputStream(garbage)));
        }
    }
}
