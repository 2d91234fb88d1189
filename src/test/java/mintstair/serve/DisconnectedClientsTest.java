package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import mintstair.program.Program;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import mintstair.standin.ManualHost;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost.HostBehavior;
import org.junit.jupiter.api.Test;

/** Tests that no attempt is sent for a client that has disconnected, whatever the state of its request. */
class DisconnectedClientsTest extends ServiceFixture {
    /** Serves without cancellation, so that only the client's disconnect can prevent attempts. */
    private void serve(EndpointList.Entry... hosts) throws IOException {
        serve(false, 64, hosts);
    }

    /**
     * Waits until no request is in flight, sends another and establishes the host's connection, on which that request
     * must be the first.
     */
    private void assertNextRequestIsTheFirstSent(ManualHost late) throws IOException {
        awaitMetric("in_flight", 0);
        Client.Pg next = client();
        next.send(true, "id=next,c=write,cluster=1", 15_000);
        awaitMetric("in_flight", 1);
        late.completeStartup(0);
        String first = late.readStatement(0);
        assertTrue(first.contains("id=next,"), first);
    }

    @Test
    void attemptWaitingForAConnectionIsNotSentAfterItsClientHasDisconnected() throws IOException {
        ManualHost late = manualHost();
        serve(host("late", late.port(), true));
        Client.Pg disconnected = client();
        disconnected.send(true, "id=gone,c=write,cluster=1", 15_000);
        late.accept();
        awaitMetric("in_flight", 1);
        disconnected.close();
        assertNextRequestIsTheFirstSent(late);
    }

    /** The connection is established after the request's deadline, and must carry the next request. */
    @Test
    void attemptWaitingForAConnectionIsNotSentAfterItsDeadline() throws IOException {
        ManualHost late = manualHost();
        serve(host("late", late.port(), true));
        Client.Pg client = client();
        client.send(true, "id=over,c=write,cluster=1", 200);
        late.accept();
        String answer = client.answer();
        assertTrue(answer.startsWith("refused") || answer.equals("failed"), answer);
        client.send(true, "id=next,c=write,cluster=1", 15_000);
        awaitMetric("in_flight", 1);
        late.completeStartup(0);
        assertTrue(late.readStatement(0).contains("id=next,"));
    }

    /** Hundreds of clients disconnect at once while their requests wait for a connection. */
    @Test
    void requestsOfManyClientsThatDisconnectAtOnceAreNotSent() throws IOException {
        ManualHost late = manualHost();
        serve(host("late", late.port(), true));
        List<Client.Pg> burst = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            burst.add(client());
            burst.get(i).send(true, "id=gone" + i + ",c=write,cluster=1", 15_000);
        }
        awaitMetric("in_flight", 300);
        late.accept();
        for (Client.Pg client : burst) {
            client.close();
        }
        assertNextRequestIsTheFirstSent(late);
        assertEquals(301, service.counters.requestsAccepted());
    }

    /** Two requests wait until a primary is listed; only the one whose client is still connected may be sent then. */
    @Test
    void requestWaitingForAPrimaryIsDroppedWhenItsClientDisconnects() throws IOException {
        PgHost primary = new PgHost("p", true, 5);
        resources.add(primary);
        serve(host("r", 9, false));
        Client.Pg disconnected = client();
        Client.Pg connected = client();
        disconnected.send(true, "id=gone,c=write,cluster=1", 15_000);
        connected.send(true, "id=stays,c=write,cluster=1", 15_000);
        awaitMetric("in_flight", 2);
        disconnected.close();
        awaitMetric("in_flight", 1);
        loop.execute(() ->
                service.onStoreEndpoints(new EndpointList(2, true, List.of(host("p", primary.port(), true)))));
        assertEquals("served stays", connected.answer());
        assertEquals(List.of("stays"), List.copyOf(primary.requestIds));
    }

    /** The client disconnects during the first attempt, which then fails in a way that would allow a retry. */
    @Test
    void failedAttemptIsNotRetriedAfterItsClientHasDisconnected() throws IOException {
        PgHost first = new PgHost("first", false, 5);
        PgHost second = new PgHost("second", false, 5);
        resources.add(first);
        resources.add(second);
        first.behaviors.put("gone", HostBehavior.SILENT);
        second.behaviors.put("gone", HostBehavior.SILENT);
        serve(host("first", first.port(), false), host("second", second.port(), false));
        Client.Pg disconnected = client();
        disconnected.send(false, "id=gone,c=any,cluster=1", 15_000);
        Program.await(() -> first.requestIds.size() + second.requestIds.size() == 1, "the first attempt");
        disconnected.close();
        awaitMetric("in_flight", 0);
        (first.requestIds.isEmpty() ? second : first).close();
        Client.Pg next = client();
        assertEquals("served next", next.ask(false, "id=next,c=any,cluster=1", 15_000));
        assertEquals(
                1,
                first.requestIds.stream().filter("gone"::equals).count()
                        + second.requestIds.stream().filter("gone"::equals).count());
    }

    /**
     * A request and the end of its connection arrive while the loop is blocked. The loop must detect the disconnect
     * when it handles the request.
     */
    @Test
    void requestIsNotSentIfItsClientDisconnectedBeforeTheLoopHandlesIt() throws Exception {
        PgHost primary = new PgHost("p", true, 5);
        resources.add(primary);
        serve(host("p", primary.port(), true));
        assertEquals("served before", client().ask(true, "id=before,c=write,cluster=1", 15_000));
        Client.Pg disconnected = client();
        CountDownLatch unblocked = new CountDownLatch(1);
        suspend(loop::execute, unblocked);
        int connections = service.front.connections();
        disconnected.send(true, "id=gone,c=write,cluster=1", 15_000);
        disconnected.close();
        Program.await(() -> service.front.connections() < connections, "the network thread to detect the disconnect");
        unblocked.countDown();
        assertEquals("served next", client().ask(true, "id=next,c=write,cluster=1", 15_000));
        assertEquals(2, service.counters.attemptsSent(), "attempts");
    }

    /** A client pipelines requests and disconnects while the first of them is in flight. */
    @Test
    void pipelinedRequestsAreDroppedWhenTheirClientDisconnects() throws IOException {
        PgHost primary = new PgHost("p", true, 5);
        resources.add(primary);
        primary.behaviors.put("m0", HostBehavior.SILENT);
        serve(host("p", primary.port(), true));
        Client.Pg disconnected = client();
        StringBuilder pipeline = new StringBuilder();
        for (int i = 0; i < 50; i++) {
            pipeline.append(new String(
                    Client.Pg.query(Client.Pg.words(true, "id=m" + i + ",c=write,cluster=1", 15_000)),
                    StandardCharsets.ISO_8859_1));
        }
        disconnected.raw(pipeline.toString().getBytes(StandardCharsets.ISO_8859_1));
        Program.await(() -> primary.requestIds.contains("m0"), "the first pipelined request");
        disconnected.close();
        awaitMetric("in_flight", 0);
        assertEquals("served next", client().ask(true, "id=next,c=write,cluster=1", 15_000));
        assertEquals(List.of("m0", "next"), List.copyOf(primary.requestIds));
    }
}
