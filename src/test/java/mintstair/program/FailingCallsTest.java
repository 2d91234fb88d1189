package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.FaultShim;
import mintstair.standin.FaultShim.Call;
import mintstair.standin.FaultShim.Fault;
import mintstair.standin.PgHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * System calls of the program fail for a while, in ways that Linux documents: clients have their answers, and all
 * goes on by itself.
 */
class FailingCallsTest {
    private static final int CLIENTS = 10;
    private static final int DEADLINE_MILLIS = 5_000;
    private PgHost primary;
    private Discovery discovery;
    private FaultShim shim;
    private Program program;
    private int requests;

    @BeforeEach
    void start() throws IOException {
        primary = new PgHost("p", true, System.currentTimeMillis() + 3_600_000);
        discovery = new Discovery(primary.listed("SERVING"));
        shim = new FaultShim();
        program = Program.shimmed(shim, Program.config(discovery.port(), primary.listed("SERVING"), false));
        program.port(0);
    }

    @AfterEach
    void stop() throws IOException {
        program.close();
        discovery.close();
        primary.close();
    }

    private void serve(Client.Pg client, String why) throws IOException {
        String id = "r" + requests++;
        assertEquals("served " + id, client.ask(false, "id=" + id + ",c=any,cluster=1", DEADLINE_MILLIS), why);
    }

    private void serveNewClients(String why) throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            try (Client.Pg client = new Client.Pg(program.port(0))) {
                serve(client, why);
            }
        }
    }

    private Duration cpu() {
        return program.process.info().totalCpuDuration().orElseThrow();
    }

    @Test
    void clientsAreServedWhileOneCallInTwoFails() throws Exception {
        for (Call call : List.of(Call.ACCEPT, Call.SOCKET, Call.CONNECT)) {
            Fault[] faults = call == Call.CONNECT
                    ? new Fault[] {Fault.EADDRNOTAVAIL, Fault.ENETUNREACH, Fault.ETIMEDOUT, Fault.EHOSTUNREACH}
                    : new Fault[] {Fault.ECONNABORTED, Fault.ENFILE, Fault.EMFILE, Fault.ENOBUFS};
            for (Fault fault : call == Call.SOCKET ? new Fault[] {Fault.ENFILE, Fault.EMFILE, Fault.ENOBUFS} : faults) {
                shim.fail(call, fault, 500);
                serveNewClients(call + " fails with " + fault);
                shim.stopFailures();
            }
        }
        assertTrue(shim.failureCount(Call.ACCEPT) > 0);
        program.end();
    }

    @Test
    void clientsAreServedWhereReadsAndWritesTakeAByteAndWaitsAreInterrupted() throws Exception {
        shim.fail(Call.READ, Fault.ONE_BYTE, 700);
        shim.fail(Call.WRITE, Fault.ONE_BYTE, 700);
        shim.fail(Call.EPOLL_WAIT, Fault.EINTR, 500);
        serveNewClients("short reads, short writes, interrupted waits");
        shim.stopFailures();
        assertTrue(shim.failureCount(Call.READ) > 0
                && shim.failureCount(Call.WRITE) > 0
                && shim.failureCount(Call.EPOLL_WAIT) > 0);
        program.end();
    }

    /**
     * No socket is to be had for a moment while it starts, as after a crash under load: it serves as soon as one is.
     */
    @Test
    void programThatStartsWhileNoSocketIsToBeHadServesOnceOneIs() throws Exception {
        program.end();
        shim.fail(Call.SOCKET, Fault.ENFILE, 1_000);
        try (Program next = Program.shimmed(shim, Program.config(discovery.port(), primary.listed("SERVING"), false))) {
            long failed = shim.failureCount(Call.SOCKET);
            Program.await(
                    () -> shim.failureCount(Call.SOCKET) > failed + 20 || !next.process.isAlive(), "calls that fail");
            shim.stopFailures();
            try (Client.Pg client = new Client.Pg(next.port(0))) {
                serve(client, "a client that came after the start");
            }
            next.end();
        }
    }

    /** No descriptor is to be had for two seconds: those who come wait, and the program does not spin meanwhile. */
    @Test
    void listenerThatCannotAcceptWaitsWithoutSpinningAndGoesOn() throws Exception {
        serveNewClients("before");
        try (Client.Pg held = new Client.Pg(program.port(0))) {
            shim.fail(Call.ACCEPT, Fault.ENFILE, 1_000);
            List<Client.Pg> waiting = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                waiting.add(new Client.Pg(program.port(0), true));
            }
            Program.await(() -> shim.failureCount(Call.ACCEPT) > 0, "an accept that fails");
            Duration before = cpu();
            long began = System.nanoTime();
            Program.await(
                    () -> System.nanoTime() - began > Duration.ofSeconds(2).toNanos(), "two seconds");
            serve(held, "a client that is connected");
            Duration spent = cpu().minus(before);
            shim.stopFailures();
            for (Client.Pg client : waiting) {
                client.raw(Client.Pg.startup());
                client.answer();
                serve(client, "a client that came meanwhile");
                client.close();
            }
            // A tenth of a core, and as much for the start, which may go on behind the first answers.
            assertTrue(
                    spent.toMillis() < 400,
                    "spent " + spent.toMillis() + " ms of CPU in 2 s on " + shim.failureCount(Call.ACCEPT) + " calls");
        }
        program.end();
    }
}
