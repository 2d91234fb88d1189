package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the program, with the heap of its deploy file, under clients that send much ahead of the answers. */
class PipelinedClientsTest {
    private static final long AHEAD = System.currentTimeMillis() + 3_600_000;
    private static final String VALUE = "\\x" + "9f".repeat(64 * 1024);
    private static final long WORK_NANOS = 5_000_000;

    private PgHost primary;
    private Discovery discovery;
    private Program program;

    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, AHEAD);
        primary.observer = request -> LockSupport.parkNanos(WORK_NANOS);
        discovery = new Discovery(primary.listed("SERVING"));
        program = Program.serve(discovery.port(), primary.listed("SERVING"), false, null);
    }

    @AfterEach
    void stop() throws IOException {
        program.close();
        discovery.close();
        primary.close();
    }

    private static byte[] writes(int client, int count) {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            commands.writeBytes(Client.Pg.query("INSERT INTO entries (ref, payload) VALUES ('7f', '" + VALUE
                    + "') RETURNING payload /* id=w" + client + "-" + i + ",c=write,cluster=1,d=5000 */"));
        }
        return commands.toByteArray();
    }

    private static List<String> sendAtOnce(int port, int number, int writes) {
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(writes(number, writes));
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < writes; i++) {
                answers.add(client.answer());
            }
            return answers;
        } catch (IOException e) {
            return List.of(e.toString());
        }
    }

    /** Guards against a heap that many clients fill together, each within a limit of its own. */
    @Test
    void largeWritesOfManyClientsAreAllAnswered() throws Exception {
        sendFromAll(60, 12);
    }

    /** Guards against a heap that is filled by the messages that hundreds of clients have begun, and those in flight. */
    @Test
    void largeWritesOfHundredsOfClientsAreAllAnswered() throws Exception {
        sendFromAll(300, 4);
    }

    private void sendFromAll(int clients, int writes) throws Exception {
        int port = program.port(0);
        ExecutorService senders = Executors.newFixedThreadPool(clients);
        List<CompletableFuture<List<String>>> all = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            int number = i;
            all.add(CompletableFuture.supplyAsync(() -> sendAtOnce(port, number, writes), senders));
        }
        for (CompletableFuture<List<String>> answers : all) {
            assertEquals(writes, answers.get().size(), answers.get().toString());
            for (String answer : answers.get()) {
                assertTrue(answer.startsWith("served ") || answer.startsWith("refused "), answer);
            }
        }
        senders.shutdown();
        assertEquals(List.of(), program.lines("unexpected"));
        program.end();
    }
}
