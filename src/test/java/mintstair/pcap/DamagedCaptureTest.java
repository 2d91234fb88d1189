package mintstair.pcap;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Bytes that are no capture, or one in parts only: they are rejected or skipped, and nothing fails on them. */
class DamagedCaptureTest {
    private static final int[] LINK_TYPES = {
        LinkLayer.NULL, LinkLayer.ETHERNET, LinkLayer.RAW, LinkLayer.LOOP, LinkLayer.LINUX_SLL, LinkLayer.LINUX_SLL2
    };

    @Property(seed = "5", tries = 500)
    void garbageIsRejectedOrSkipped(@ForAll @Size(max = 300) byte[] garbage, @ForAll Random random) throws IOException {
        readAsFrames(garbage);
        for (byte[] capture : captures(random)) {
            RecordedFlows.ofCapture(overwrittenInPlaces(capture, garbage, random));
        }
        boolean mayBePcapNg = garbage.length >= 4 && garbage[0] == 0x0a;
        if (!mayBePcapNg) {
            assertThrows(
                    MalformedCaptureException.class, () -> CaptureReader.open(() -> new ByteArrayInputStream(garbage)));
        }
    }

    private static void readAsFrames(byte[] garbage) {
        IpReassembler reassembler = new IpReassembler(new DropCounters());
        for (int linkType : LINK_TYPES) {
            try {
                ByteBuffer packet = LinkLayer.ipPacket(linkType, ByteBuffer.wrap(garbage));
                if (packet != null) {
                    reassembler.accept(1, packet);
                }
            } catch (IndexOutOfBoundsException e) {
                // The frame is too short, which the flow reader expects.
            }
        }
    }

    private static List<byte[]> captures(Random random) {
        List<byte[]> packets = new ArrayList<>();
        int identification = 0;
        for (byte[] segment : CaptureFixtures.requestAndResponse(random)) {
            boolean fromClient = CaptureFixtures.isFromClient(segment);
            int fragmentBytes = 8 * random.nextInt(3);
            packets.addAll(CaptureFixtures.ipv4Packets(fromClient, identification++, segment, fragmentBytes));
        }
        long[] timestamps = CaptureFixtures.timestamps(packets.size());
        return List.of(
                CaptureFixtures.classicPcap(
                        ByteOrder.LITTLE_ENDIAN,
                        true,
                        LinkLayer.RAW,
                        CaptureFixtures.NO_SNAPSHOT_LIMIT,
                        packets,
                        timestamps),
                CaptureFixtures.pcapNg(ByteOrder.LITTLE_ENDIAN, LinkLayer.RAW, 6, packets, timestamps));
    }

    private static byte[] overwrittenInPlaces(byte[] capture, byte[] garbage, Random random) {
        byte[] damaged = capture.clone();
        for (int i = 0; i < garbage.length / 10; i++) {
            damaged[24 + random.nextInt(damaged.length - 24)] = garbage[i];
        }
        return damaged;
    }
}
