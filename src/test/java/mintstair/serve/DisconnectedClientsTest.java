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
import mintstair.standin.LateHost;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost.Act;
import org.junit.jupiter.api.Test;

/** A client that has closed its connection: no attempt begins for it any more, in whatever state its request is. */
class DisconnectedClientsTest extends ServiceFixture {
    /** Without cancellation, so that nothing but the client's disconnect keeps attempts from beginning. */
    private void serve(EndpointList.Entry... hosts) throws IOException {
        serve(false, 64, hosts);
    }

    /**
     * Once no request is in flight: on a connection that comes up only now, the next request is the first that the
     * host sees.
     */
    private void awaitNextToBeFirst(LateHost late) throws IOException {
        awaitMetric("in_flight", 0);
        Client.Pg next = client();
        next.send(true, "id=next,c=write,cluster=1", 15_000);
        awaitMetric("in_flight", 1);
        late.greet(0);
        String first = late.statement(0);
        assertTrue(first.contains("id=next,"), first);
    }

    /** Its connection comes up long after the disconnect; the next request is the first that the host sees. */
    @Test
    void attemptThatWaitsForAConnectionDoesNotBeginOnceItsClientHasDisconnected() throws IOException {
        LateHost late = lateHost();
        serve(host("late", late.port(), true));
        Client.Pg disconnected = client();
        disconnected.send(true, "id=gone,c=write,cluster=1", 15_000);
        late.accept();
        awaitMetric("in_flight", 1);
        disconnected.close();
        awaitNextToBeFirst(late);
    }

    /** A connection that comes up after its request's deadline carries the next request, not that one. */
    @Test
    void attemptThatWaitsForAConnectionDoesNotBeginOnceItsRequestIsOver() throws IOException {
        LateHost late = lateHost();
        serve(host("late", late.port(), true));
        Client.Pg client = client();
        client.send(true, "id=over,c=write,cluster=1", 200);
        late.accept();
        String answer = client.answer();
        assertTrue(answer.startsWith("refused") || answer.equals("failed"), answer);
        client.send(true, "id=next,c=write,cluster=1", 15_000);
        awaitMetric("in_flight", 1);
        late.greet(0);
        assertTrue(late.statement(0).contains("id=next,"));
    }

    /** Hundreds that disconnect together while all of their requests wait: none of them begins. */
    @Test
    void burstOfDisconnectedClientsIsNotForwarded() throws IOException {
        LateHost late = lateHost();
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
        awaitNextToBeFirst(late);
        assertEquals(301, service.counters.requestsAccepted());
    }

    /** Queued as there is no primary: when one is listed, only requests whose clients are still connected are sent. */
    @Test
    void requestQueuedForAPrimaryIsDroppedWithItsClient() throws IOException {
        PgHost primary = new PgHost("p", true, 5);
        open.add(primary);
        serve(host("r", 9, false));
        Client.Pg disconnected = client();
        Client.Pg stays = client();
        disconnected.send(true, "id=gone,c=write,cluster=1", 15_000);
        stays.send(true, "id=stays,c=write,cluster=1", 15_000);
        awaitMetric("in_flight", 2);
        disconnected.close();
        awaitMetric("in_flight", 1);
        loop.execute(() ->
                service.onStoreEndpoints(new EndpointList(2, true, List.of(host("p", primary.port(), true)))));
        assertEquals("served stays", stays.answer());
        assertEquals(List.of("stays"), List.copyOf(primary.seen));
    }

    /** It disconnects during its first attempt, which fails as one that may be retried, and is not. */
    @Test
    void retryDoesNotBeginOnceItsClientHasDisconnected() throws IOException {
        PgHost first = new PgHost("first", false, 5);
        PgHost second = new PgHost("second", false, 5);
        open.add(first);
        open.add(second);
        first.script.put("gone", Act.SILENT);
        second.script.put("gone", Act.SILENT);
        serve(host("first", first.port(), false), host("second", second.port(), false));
        Client.Pg disconnected = client();
        disconnected.send(false, "id=gone,c=any,cluster=1", 15_000);
        Program.await(() -> first.seen.size() + second.seen.size() == 1, "the first attempt");
        disconnected.close();
        awaitMetric("in_flight", 0);
        (first.seen.isEmpty() ? second : first).close();
        Client.Pg next = client();
        assertEquals("served next", next.ask(false, "id=next,c=any,cluster=1", 15_000));
        assertEquals(
                1,
                first.seen.stream().filter("gone"::equals).count()
                        + second.seen.stream().filter("gone"::equals).count());
    }

    /**
     * The loop is busy when a request and the end of its connection arrive: it must know of the end when it gets to
     * the request.
     */
    @Test
    void requestOfAClientThatDisconnectedBeforeTheLoopGotToItIsNotForwarded() throws Exception {
        PgHost primary = new PgHost("p", true, 5);
        open.add(primary);
        serve(host("p", primary.port(), true));
        assertEquals("served before", client().ask(true, "id=before,c=write,cluster=1", 15_000));
        Client.Pg disconnected = client();
        CountDownLatch blocked = new CountDownLatch(1);
        suspend(loop::execute, blocked);
        int clients = service.front.connections();
        disconnected.send(true, "id=gone,c=write,cluster=1", 15_000);
        disconnected.close();
        Program.await(() -> service.front.connections() < clients, "the network thread to have seen the end");
        blocked.countDown();
        assertEquals("served next", client().ask(true, "id=next,c=write,cluster=1", 15_000));
        assertEquals(2, service.counters.attemptsSent(), "attempts");
    }

    /** Pipelines requests and disconnects: only the first has begun. */
    @Test
    void pipelinedRequestsOfADisconnectedClientAreDropped() throws IOException {
        PgHost primary = new PgHost("p", true, 5);
        open.add(primary);
        primary.script.put("m0", Act.SILENT);
        serve(host("p", primary.port(), true));
        Client.Pg disconnected = client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 50; i++) {
            all.append(new String(
                    Client.Pg.query(Client.Pg.words(true, "id=m" + i + ",c=write,cluster=1", 15_000)),
                    StandardCharsets.ISO_8859_1));
        }
        disconnected.raw(all.toString().getBytes(StandardCharsets.ISO_8859_1));
        Program.await(() -> primary.seen.contains("m0"), "the first of many");
        disconnected.close();
        awaitMetric("in_flight", 0);
        assertEquals("served next", client().ask(true, "id=next,c=write,cluster=1", 15_000));
        assertEquals(List.of("m0", "next"), List.copyOf(primary.seen));
    }
}
