package mintstair.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.config.Json;
import mintstair.pcap.PcapWriter;
import mintstair.standin.Client;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The commands on a recording of one request, and on files that are none. */
class TrafficCommandTest {
    private static final int UNUSABLE = 2;

    @TempDir
    Path folder;

    private Path recording;
    private final StringWriter output = new StringWriter();

    @BeforeEach
    void recordOneRequest() throws IOException {
        recording = folder.resolve("recording.pcap");
        AtomicLong clockMicros = new AtomicLong(1_700_000_000_000_000L);
        try (PcapWriter file = new PcapWriter(recording, 1 << 20)) {
            String query = Client.Pg.words(false, "id=a,c=basket,cluster=1", 480);
            RecordedConversation.startedPg(file, clockMicros, 40008)
                    .request(Client.Pg.query(query))
                    .response(PgMessages.row("x"));
        }
    }

    private int run(String... args) {
        return TrafficCommand.run(List.of(args), new PrintWriter(output));
    }

    @Test
    void infoPrintsWhatARecordingHolds() {
        assertEquals(0, run("info", recording.toString()));

        String text = output.toString();
        assertTrue(text.contains("connections=1 requests=1 "), text);
        assertTrue(text.matches("(?s).*basket +1 +1 +0 +0 +0 +0 +1\\.0.*"), text);
        assertTrue(text.contains("lost: nothing"), text);
    }

    @Test
    void convertWritesLinesOfJson() throws IOException {
        assertEquals(0, run("convert", "--to", "-", recording.toString()));

        Map<?, ?> line = (Map<?, ?>) Json.read(output.toString().getBytes(StandardCharsets.UTF_8));
        assertEquals("a", line.get("id"));
        assertEquals("basket", line.get("class"));
        assertEquals("7f", line.get("session"));
        assertEquals("served", line.get("result"));
        assertEquals("1.0", String.valueOf(line.get("latency_ms")));
    }

    @Test
    void fileThatCannotBeWrittenEndsWithStatusTwo() {
        assertEquals(UNUSABLE, run("convert", "--to", "/nowhere/x", recording.toString()));
    }

    @Test
    void fileThatIsNoCaptureEndsWithStatusTwo() throws IOException {
        Files.writeString(recording, "no capture");

        assertEquals(UNUSABLE, run("info", recording.toString()));
    }

    @Test
    void wrongArgumentsEndWithStatusTwo() {
        assertEquals(UNUSABLE, run("info"));
        assertEquals(UNUSABLE, run("information"));
    }
}
