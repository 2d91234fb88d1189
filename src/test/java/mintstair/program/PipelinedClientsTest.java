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
    private static final int CLIENTS = 60;
    private static final int WRITES = 12;
    private static final String VALUE = "\\x" + "9f".repeat(64 * 1024);
    private static final long WORK_NANOS = 2_000_000;

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

    private static byte[] writes(int client) {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; i < WRITES; i++) {
            commands.writeBytes(Client.Pg.query("INSERT INTO entries (ref, payload) VALUES ('7f', '" + VALUE
                    + "') RETURNING payload /* id=w" + client + "-" + i + ",c=write,cluster=1,d=5000 */"));
        }
        return commands.toByteArray();
    }

    private static List<String> sendAtOnce(Client.Pg client, int number) {
        try (client) {
            client.raw(writes(number));
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < WRITES; i++) {
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
        ExecutorService senders = Executors.newFixedThreadPool(CLIENTS);
        List<CompletableFuture<List<String>>> all = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Client.Pg client = new Client.Pg(program.port(0));
            all.add(CompletableFuture.supplyAsync(() -> sendAtOnce(client, number), senders));
        }
        for (CompletableFuture<List<String>> answers : all) {
            assertEquals(WRITES, answers.get().size(), answers.get().toString());
            for (String answer : answers.get()) {
                assertTrue(answer.startsWith("served ") || answer.startsWith("refused "), answer);
            }
        }
        senders.shutdown();
        assertEquals(List.of(), program.lines("unexpected"));
        program.end();
    }
}
