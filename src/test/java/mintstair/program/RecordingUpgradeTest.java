package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import mintstair.standin.Client;
import mintstair.standin.PgHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Upgrades of a proxy that records. Guards against a new process that overwrites the file that the old one writes. */
class RecordingUpgradeTest {
    private PgHost host;
    private int listen;

    @TempDir
    private Path folder;

    @BeforeEach
    void startHost() throws IOException {
        host = new PgHost("p", true, System.currentTimeMillis() + 3_600_000);
        try (ServerSocket free = new ServerSocket(0)) {
            listen = free.getLocalPort();
        }
    }

    @AfterEach
    void stop() throws IOException {
        host.close();
    }

    private Program start(Path file) throws IOException {
        String operator = file == null ? null : "{\"record\":{\"file\":\"" + file + "\"}}";
        return Program.serve(file == null ? 0 : listen, 9, host.listed("SERVING"), true, operator);
    }

    private static void write(Client.Pg client, int number) throws IOException {
        assertEquals("served w" + number, client.ask(true, "id=w" + number + ",c=write,cluster=1", 4_000));
    }

    /** Asserts that the file has one connection with so many messages, all of which are answered at a replay. */
    private void assertRecorded(Path file, int messages) throws Exception {
        try (Program target = start(null);
                Program replay = new Program(
                        "replay",
                        "--to",
                        "127.0.0.1:" + target.port(0),
                        "--port",
                        String.valueOf(listen),
                        file.toString())) {
            assertEquals(0, replay.exit(), replay.printed.toString());
            String line = "connections=1 incomplete=0 sent=" + messages + " answered=" + messages;
            Program.await(() -> !replay.lines(line).isEmpty(), line + " in " + replay.printed);
        }
    }

    @Test
    void bothProcessesHaveACompleteRecordingOfTheirOwn() throws Exception {
        Path file = folder.resolve("clients.pcap");
        try (Program predecessor = start(file)) {
            predecessor.port(0);
            Program successor;
            try (Client.Pg client = new Client.Pg(listen)) {
                for (int i = 0; i < 5; i++) {
                    write(client, i);
                }
                successor = start(file);
                successor.port(0);
                write(client, 5);
            }
            try (successor) {
                predecessor.end();
                try (Client.Pg client = new Client.Pg(listen)) {
                    write(client, 6);
                }
                successor.end();
            }
        }
        assertRecorded(file, 2);
        assertRecorded(folder.resolve("clients.pcap.1"), 7);
    }
}
