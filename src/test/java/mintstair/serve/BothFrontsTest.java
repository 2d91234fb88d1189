package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import mintstair.backend.Protocol;
import mintstair.backend.mongo.MongoProtocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.EndpointListReader;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.front.ClientMemoryBudget;
import mintstair.front.Front;
import mintstair.front.mongo.MongoFront;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.Dispatcher;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import mintstair.standin.MongoHost;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost;
import mintstair.standin.StandInHost.HostBehavior;
import mintstair.stats.Counters;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.junit.jupiter.api.Test;

/**
 * Sends the same requests, with the same host failures, through both fronts: routing decisions and answers must be
 * equal.
 */
class BothFrontsTest {
    private static final long MAX_HELD_BYTES = 16L * 1024 * 1024;
    /** Replication positions are an hour from the present, so that decisions do not depend on the machine's speed. */
    private static final long NOW = 1_800_000_000_000L;

    private static final long AHEAD = NOW + 3_600_000;
    private static final long BEHIND = NOW - 3_600_000;

    private record Query(boolean write, String comment, int deadlineMillis) {}

    /** Creates stand-in hosts of one protocol. */
    interface HostFactory {
        StandInHost create(String name, boolean primary, long position) throws IOException;
    }

    private static List<Query> queries() {
        List<Query> queries = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            String[] requestClasses = {"any", "bounded", "session", "write", "session", "any", "bounded"};
            String requestClass = requestClasses[i % requestClasses.length];
            long position = i % 2 == 0 ? NOW : AHEAD + 1000;
            String session = requestClass.equals("session") ? ",after=" + position : "";
            queries.add(new Query(
                    requestClass.equals("write"), "id=m" + i + ",c=" + requestClass + ",cluster=1" + session, 4000));
        }
        queries.add(new Query(false, "id=error,c=any,cluster=1", 4000));
        queries.add(new Query(true, "id=break,c=write,cluster=1", 4000));
        queries.add(new Query(false, "id=silent,c=any,cluster=1", 300));
        queries.add(new Query(false, "id=cut,c=any,cluster=1", 4000));
        queries.add(new Query(true, "id=full,c=write,cluster=1", 30));
        return queries;
    }

    private static List<StandInHost> hosts(HostFactory factory, List<String> decisions) throws IOException {
        List<StandInHost> hosts = List.of(
                factory.create("p", true, AHEAD),
                factory.create("r1", false, AHEAD),
                factory.create("r2", false, BEHIND),
                factory.create("r3", false, AHEAD));
        for (StandInHost host : hosts) {
            host.observer = decisions::add;
            host.behaviors.put("break", HostBehavior.BREAK);
            host.behaviors.put("silent", HostBehavior.SILENT);
            host.behaviors.put("full", HostBehavior.FULL);
        }
        // Only some hosts fail on these, so that a retry on another host is served.
        for (StandInHost host : hosts.subList(2, 4)) {
            host.behaviors.put("error", HostBehavior.ERROR);
            host.behaviors.put("cut", HostBehavior.BREAK);
        }
        return hosts;
    }

    /** Sends the queries one after the other; the clock advances only between requests and to cause time-outs. */
    private static List<String> sendAll(Protocol protocol, List<StandInHost> hosts, TCPNIOTransport transport)
            throws IOException {
        AtomicLong clock = new AtomicLong(NOW * 1000);
        boolean isPg = protocol instanceof PgProtocol;
        String listed = hosts.stream().map(h -> h.listed("SERVING")).collect(Collectors.joining(","));
        EndpointList list = EndpointListReader.read(
                Json.read(("{\"rev\":1,\"all\":true,\"targets\":[" + listed + "]}").getBytes(StandardCharsets.UTF_8)));
        InstanceSettings settings = TestSettings.defaults();
        try (EventLoop loop = new EventLoop(clock::get)) {
            ProtocolService service = new ProtocolService(
                    loop,
                    transport,
                    protocol,
                    20261201,
                    settings,
                    100,
                    (dispatcher, counters) -> front(isPg, loop, dispatcher, transport, counters));
            service.start(null, list, false);
            int port = service.acceptClients(new InetSocketAddress("127.0.0.1", 0), null);
            List<String> answers = new ArrayList<>();
            try (Client client = isPg ? new Client.Pg(port) : new Client.Mongo(port)) {
                for (Query query : queries()) {
                    client.send(query.write, query.comment, query.deadlineMillis);
                    if (query.comment.startsWith("id=silent")) {
                        Program.await(
                                () -> hosts.stream().anyMatch(h -> h.requestIds.contains("silent")), "an attempt");
                        clock.addAndGet(query.deadlineMillis * 1000L);
                    } else if (query.comment.startsWith("id=full")) {
                        Program.await(() -> counters(loop, service).contains(" ended_turned_away=1"), "the rejection");
                        clock.addAndGet(query.deadlineMillis * 1000L);
                    }
                    answers.add(query.comment + ": " + client.answer());
                    clock.addAndGet(10_000);
                }
            }
            service.front.stopListening();
            return answers;
        }
    }

    private static Front front(
            boolean isPg, EventLoop loop, Dispatcher dispatcher, TCPNIOTransport transport, Counters counters) {
        ClientMemoryBudget budget = new ClientMemoryBudget(MAX_HELD_BYTES, MAX_HELD_BYTES);
        return isPg
                ? new PgFront(loop, dispatcher, transport, counters, budget, 10)
                : new MongoFront(loop, dispatcher, transport, counters, budget, 10);
    }

    private static String counters(EventLoop loop, ProtocolService service) {
        CompletableFuture<String> line = new CompletableFuture<>();
        loop.execute(() -> line.complete(service.counters.toString()));
        return line.join();
    }

    @Test
    void sameRequestsAreRoutedAndAnsweredAlikeByBothFronts() throws IOException {
        List<String> pgDecisions = Collections.synchronizedList(new ArrayList<>());
        List<String> mongoDecisions = Collections.synchronizedList(new ArrayList<>());
        List<StandInHost> pg = hosts(PgHost::new, pgDecisions);
        List<StandInHost> mongo = hosts(MongoHost::new, mongoDecisions);
        TCPNIOTransport transport = ClientTransport.create();
        transport.start();
        try {
            List<String> pgAnswers = sendAll(new PgProtocol(), pg, transport);
            List<String> mongoAnswers = sendAll(new MongoProtocol(), mongo, transport);
            assertEquals(pgAnswers, mongoAnswers);
            assertEquals(pgDecisions, mongoDecisions);
            // The compared lists must not be trivial: they contain each result and each kind of routing decision.
            assertEquals(
                    1, pgDecisions.stream().filter(d -> d.startsWith("break ")).count(), "a write is sent once");
            assertTrue(pgAnswers.contains("id=m0,c=any,cluster=1: served m0"), pgAnswers.toString());
            for (String ending :
                    List.of("id=break,c=write,cluster=1: failed", "id=error,c=any,cluster=1: served error")) {
                assertTrue(pgAnswers.contains(ending), pgAnswers.toString());
            }
            assertTrue(
                    pgAnswers.stream().anyMatch(a -> a.startsWith("id=full") && a.contains("refused")), "" + pgAnswers);
            assertTrue(pgDecisions.stream().anyMatch(d -> d.endsWith(" r2")), "class any reads a lagging replica");
            assertTrue(pgDecisions.contains("m3 at p") && pgDecisions.contains("m11 at p"), "" + pgDecisions);
        } finally {
            transport.shutdownNow();
            for (StandInHost host : pg) {
                host.close();
            }
            for (StandInHost host : mongo) {
                host.close();
            }
        }
    }
}
