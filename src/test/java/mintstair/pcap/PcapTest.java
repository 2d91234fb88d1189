package mintstair.pcap;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import mintstair.standin.Client;
import mintstair.wire.PgFramer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Captures as they come: whole, cut off, reordered, with segments sent again, and damaged. */
class PcapTest {
    private static final InetSocketAddress CLIENT = new InetSocketAddress("127.0.0.1", 40000);
    private static final InetSocketAddress PROXY = new InetSocketAddress("127.0.0.1", 5433);
    private static final byte[] SAID = said();

    private static byte[] said() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(Client.Pg.startup());
        for (int i = 0; i < 20; i++) {
            out.writeBytes(Client.Pg.query(Client.Pg.words(i % 3 == 0, "id=" + i + ",c=any,cluster=1", 1000)));
        }
        return out.toByteArray();
    }

    private static Path write(Path file, InetSocketAddress client, InetSocketAddress proxy) throws IOException {
        try (PcapWriter out = new PcapWriter(file, 1 << 20)) {
            PcapWriter.Conversation c = out.new Conversation(1_700_000_000_000_001L, client, proxy);
            for (int at = 0; at < SAID.length; at += 100) {
                c.said(1_700_000_000_000_002L, true, Arrays.copyOfRange(SAID, at, Math.min(SAID.length, at + 100)));
                c.said(1_700_000_000_000_003L, false, new byte[] {'Z', 0, 0, 0, 5, 'I'});
            }
            c.ended(1_700_000_000_000_004L);
        }
        return file;
    }

    private static byte[] joined(Conversations found) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        found.messages().forEach(m -> out.writeBytes(m.message()));
        return out.toByteArray();
    }

    @Example
    void whatIsWrittenIsReadInBothVersionsOfIp() throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        for (String host : List.of("127.0.0.1", "::1")) {
            Conversations found = Conversations.read(
                    write(file, new InetSocketAddress(host, 40000), new InetSocketAddress(host, 5433)),
                    5433,
                    PgFramer.OfClient::new);
            assertEquals(Arrays.toString(SAID), Arrays.toString(joined(found)));
            assertEquals("21 1 0", found.messages().size() + " " + found.connections() + " " + found.incomplete());
        }
        try (Capture in = Capture.open(file)) {
            assertEquals(1_700_000_000_000_001_000L, in.next().nanos());
        }
    }

    /** Guards against half a request at a file's end, which must not be sent. */
    @Property(seed = "3", tries = 100)
    void cutOffFileGivesWholeMessagesOnly(@ForAll Random random) throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        byte[] all = Files.readAllBytes(write(file, CLIENT, PROXY));
        Files.write(file, Arrays.copyOf(all, 24 + random.nextInt(all.length - 24)));
        byte[] found = joined(Conversations.read(file, 5433, PgFramer.OfClient::new));
        assertEquals(Arrays.toString(Arrays.copyOf(SAID, found.length)), Arrays.toString(found));
        Files.delete(file);
    }
}
