package mintstair.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import mintstair.program.Program;
import mintstair.standin.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests clients that send commands ahead of their responses, and each way in which such a connection can end. */
class PipeliningTest extends FrontFixture {
    private static final int COMMANDS = 200;
    private static final int LARGE_COMMANDS = 400;
    private static final int LARGE_COMMAND_BYTES = 60_000;
    /** What a client may hold above the budget: a message, and what was read before the pause took effect. */
    private static final int TOLERANCE_BYTES = 1024 * 1024;

    /** Each is answered with an error of its own, and leaves the connection usable. */
    private static byte[] invalidQueries(int count, int length) {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        byte[] query = Client.Pg.query("x".repeat(length));
        for (int i = 0; i < count; i++) {
            commands.writeBytes(query);
        }
        return commands.toByteArray();
    }

    private static byte[] writeQuery(String id) {
        return Client.Pg.query(Client.Pg.words(true, "id=" + id + ",c=write,cluster=1", 5_000));
    }

    private Client.Pg clientWithWriteInFlight() throws IOException {
        Client.Pg client = new Client.Pg(port);
        client.raw(writeQuery("w"));
        awaitAttempts(1);
        return client;
    }

    private static void assertAnswered(Client.Pg client, int invalidQueries) throws IOException {
        assertEquals("served w", client.answer());
        for (int i = 0; i < invalidQueries; i++) {
            client.code = "";
            assertEquals("failed", client.answer(), "command " + i);
            assertEquals("08P01", client.code, "command " + i);
        }
    }

    private static void assertErrorAndEnd(Client.Pg client) throws IOException {
        client.code = "";
        assertEquals("failed", client.answer());
        assertEquals("08P01", client.code);
        assertEquals(-1, client.in.read());
    }

    private long heldBytes() {
        return onLoop(front.memoryBudget::inputBytes);
    }

    /** Takes a part of the budget that no client holds, or gives it back. */
    private void addHeldBytes(int bytes) {
        onLoop(() -> {
            front.memoryBudget.addInput(loop.now(), bytes);
            return null;
        });
    }

    /** Sends more than the budget and the kernel's buffers take, from another thread. */
    private static CompletableFuture<Void> sendLargeCommands(Client.Pg client) {
        return CompletableFuture.runAsync(() -> {
            try {
                client.raw(invalidQueries(LARGE_COMMANDS, LARGE_COMMAND_BYTES));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private void awaitPause() {
        Program.await(() -> heldBytes() > MAX_HELD_BYTES / 4, "the queue to be long");
    }

    @AfterEach
    void everyByteIsGivenBackWhenItsConnectionEnds() {
        Program.await(() -> onLoop(() -> front.clients()) == 0, "the sessions to end");
        assertEquals(0, heldBytes());
    }

    /** Guards against commands that are dropped because more than a number of them was sent at once. */
    @Test
    void manyCommandsSentAtOnceAreAllAnswered() throws IOException {
        try (Client.Pg client = clientWithWriteInFlight()) {
            client.raw(invalidQueries(COMMANDS, 10));
            replyToLastAttempt("w");
            assertAnswered(client, COMMANDS);
            client.raw(Client.Pg.query(""));
            assertEquals("empty", client.answer());
        }
    }

    /** Guards against commands that are dropped for their size, and against a heap that they fill. */
    @Test
    void clientThatSendsMoreThanTheBudgetIsSlowedDownAndAnswered() throws Exception {
        try (Client.Pg client = clientWithWriteInFlight();
                Client.Pg other = new Client.Pg(port)) {
            CompletableFuture<Void> sent = sendLargeCommands(client);
            awaitPause();
            other.raw(Client.Pg.query(""));
            assertEquals("empty", other.answer(), "other clients are served");
            replyToLastAttempt("w");
            assertEquals("served w", client.answer());
            for (int i = 0; i < LARGE_COMMANDS; i++) {
                assertEquals("failed", client.answer(), "command " + i);
                long held = heldBytes();
                assertTrue(held < MAX_HELD_BYTES + TOLERANCE_BYTES, held + " bytes are held");
            }
            sent.join();
        }
    }

    /** Guards against a deadlock of incomplete messages that together exceed the budget. */
    @Test
    void incompleteMessagesBeyondTheBudgetAreReadOneAfterTheOther() throws IOException {
        byte[] message = Client.Pg.query("x".repeat(250_000));
        Client.Pg[] clients = new Client.Pg[MAX_CLIENTS];
        addHeldBytes(MAX_HELD_BYTES);
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new Client.Pg(port);
            clients[i].raw(Arrays.copyOf(message, 100_000));
        }
        for (Client.Pg client : clients) {
            client.raw(Arrays.copyOfRange(message, 100_000, message.length));
        }
        for (Client.Pg client : clients) {
            assertEquals("failed", client.answer());
            client.raw(Client.Pg.query(""));
            assertEquals("empty", client.answer(), "the connection goes on");
            client.close();
        }
        addHeldBytes(-MAX_HELD_BYTES);
    }

    /** Guards against commands that are dropped because a message behind them is not finished in time. */
    @Test
    void commandsBeforeAnUnfinishedMessageAreAnsweredBeforeTheError() throws IOException {
        try (Client.Pg client = clientWithWriteInFlight()) {
            client.raw(invalidQueries(COMMANDS, 10));
            client.raw(new byte[] {'Q', 0, 0});
            awaitReadTimeout();
            replyToLastAttempt("w");
            assertAnswered(client, COMMANDS);
            assertErrorAndEnd(client);
        }
    }

    @Test
    void commandsBeforeAMalformedMessageAreAnsweredBeforeTheError() throws IOException {
        try (Client.Pg client = clientWithWriteInFlight()) {
            client.raw(invalidQueries(COMMANDS, 10));
            client.raw(new byte[] {'?', 0, 0, 0, 4});
            replyToLastAttempt("w");
            assertAnswered(client, COMMANDS);
            assertErrorAndEnd(client);
        }
    }

    /** Guards against garbage that is run as a command, as it was read before the error in front of it was found. */
    @Test
    void inputThatWasReadBehindAMalformedMessageIsNotRun() throws IOException {
        try (Client.Pg client = clientWithWriteInFlight()) {
            Program.await(() -> front.unprocessedBytes.get() == 0, "the loop to be idle");
            CountDownLatch blocked = blockLoop();
            client.raw(new byte[] {'?', 0, 0, 0, 4});
            Program.await(() -> front.unprocessedBytes.get() > 0, "the malformed message to be read");
            long malformed = front.unprocessedBytes.get();
            client.raw(writeQuery("garbage"));
            Program.await(() -> front.unprocessedBytes.get() > malformed, "the input behind it to be read");
            blocked.countDown();
            replyToLastAttempt("w");
            assertEquals("served w", client.answer());
            assertErrorAndEnd(client);
        }
        assertEquals(1, onLoop(backend.attempts::size));
    }

    /** Guards against a time-out of a message that is complete, but that a busy loop has not processed yet. */
    @Test
    void messageWhoseRestWasReadIsNotOverdue() throws IOException {
        byte[] query = Client.Pg.query("");
        try (Client.Pg client = new Client.Pg(port)) {
            client.raw(Arrays.copyOf(query, 2));
            Program.await(() -> heldBytes() == 2, "the first bytes");
            CountDownLatch blocked = blockLoop();
            // The check of timeouts that is due now runs before the rest of the message is processed.
            awaitReadTimeout();
            client.raw(Arrays.copyOfRange(query, 2, query.length));
            Program.await(() -> front.unprocessedBytes.get() > 0, "the rest to be read");
            blocked.countDown();
            assertEquals("empty", client.answer());
        }
    }

    /** Guards against commands that a connection loses, queued or in the kernel's buffer, when it is drained. */
    @Test
    void commandsSentBeforeADrainAreAllAnswered() throws Exception {
        try (Client.Pg client = clientWithWriteInFlight()) {
            CompletableFuture<Void> sent = sendLargeCommands(client);
            awaitPause();
            loop.execute(front::drain);
            replyToLastAttempt("w");
            assertAnswered(client, LARGE_COMMANDS);
            assertEquals(-1, client.in.read());
            sent.join();
        }
    }

    /** The end of the client's output is taken for its close, as TCP does not tell them apart. */
    @Test
    void commandsOfAClientThatHasEndedItsOutputAreNotSent() throws IOException {
        try (Client.Pg client = clientWithWriteInFlight()) {
            client.raw(writeQuery("queued"));
            client.socket.shutdownOutput();
            Program.await(() -> onLoop(() -> front.clients()) == 0, "the session to end");
            replyToLastAttempt("w");
        }
        assertEquals(1, onLoop(backend.attempts::size));
    }

    /** Guards against attempts for a client whose close lies behind input that is not read. */
    @Test
    void noCommandBeginsForAClientThatClosedBehindUnreadInput() throws IOException {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; i < 100; i++) {
            commands.writeBytes(writeQuery("late" + i));
        }
        try (Client.Pg client = clientWithWriteInFlight()) {
            // Fills the rest of the budget, so that the client is not read.
            addHeldBytes(MAX_HELD_BYTES);
            client.raw(commands.toByteArray());
            Program.await(() -> heldBytes() > MAX_HELD_BYTES, "the first bytes to be read");
            client.raw(commands.toByteArray());
        }
        replyToLastAttempt("w");
        Program.await(() -> onLoop(() -> front.clients()) == 0, "the close to be noticed");
        assertEquals(1, onLoop(backend.attempts::size));
        addHeldBytes(-MAX_HELD_BYTES);
    }
}
