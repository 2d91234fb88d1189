package mintstair.pcap;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
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

/** Files that are written here and read again: whole, and cut off. */
class PcapWriterTest {
    private static final int CLIENT_PORT = 40_000;
    private static final int SERVER_PORT = 5433;
    private static final long BEGIN_MICROS = 1_700_000_000_000_001L;
    private static final byte[] CLIENT_BYTES = clientBytes();
    private static final byte[] READY_FOR_QUERY = {'Z', 0, 0, 0, 5, 'I'};

    private static byte[] clientBytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(Client.Pg.startup());
        for (int i = 0; i < 20; i++) {
            String query = Client.Pg.words(i % 3 == 0, "id=" + i + ",c=any,cluster=1", 1000);
            bytes.writeBytes(Client.Pg.query(query));
        }
        return bytes.toByteArray();
    }

    private static void writeConnection(Path file, String host) throws IOException {
        InetSocketAddress client = new InetSocketAddress(host, CLIENT_PORT);
        InetSocketAddress server = new InetSocketAddress(host, SERVER_PORT);
        try (PcapWriter writer = new PcapWriter(file, 1 << 20)) {
            PcapWriter.Conversation conversation = writer.begin(BEGIN_MICROS, client, server);
            for (int from = 0; from < CLIENT_BYTES.length; from += 100) {
                int to = Math.min(CLIENT_BYTES.length, from + 100);
                conversation.sent(BEGIN_MICROS + 1, true, Arrays.copyOfRange(CLIENT_BYTES, from, to));
                conversation.sent(BEGIN_MICROS + 2, false, READY_FOR_QUERY);
            }
            conversation.ended(BEGIN_MICROS + 3);
        }
    }

    private static ClientMessages read(Path file) throws IOException {
        return ClientMessages.read(file, SERVER_PORT, PgFramer.ClientMessageFramer::new);
    }

    private static byte[] joined(ClientMessages read) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        read.messages().forEach(message -> bytes.writeBytes(message.bytes()));
        return bytes.toByteArray();
    }

    @Example
    void writtenConnectionIsReadInBothVersionsOfIp() throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try {
            for (String host : List.of("127.0.0.1", "::1")) {
                writeConnection(file, host);

                ClientMessages read = read(file);

                assertArrayEquals(CLIENT_BYTES, joined(read));
                assertEquals(21, read.messages().size());
                assertEquals(1, read.connections());
                assertEquals(0, read.incompleteConnections());
            }
            try (CaptureReader reader = CaptureReader.open(file)) {
                assertEquals(BEGIN_MICROS * 1_000, reader.next().timestampNanos());
            }
        } finally {
            Files.delete(file);
        }
    }

    /** Guards against half a request at a file's end, which must not be sent by a replay. */
    @Property(seed = "3", tries = 100)
    void cutOffFileGivesWholeMessagesOnly(@ForAll Random random) throws IOException {
        Path file = Files.createTempFile("mintstair", ".pcap");
        try {
            writeConnection(file, "127.0.0.1");
            byte[] whole = Files.readAllBytes(file);
            Files.write(file, Arrays.copyOf(whole, 24 + random.nextInt(whole.length - 24)));

            byte[] read = joined(read(file));

            assertArrayEquals(Arrays.copyOf(CLIENT_BYTES, read.length), read);
        } finally {
            Files.delete(file);
        }
    }
}
