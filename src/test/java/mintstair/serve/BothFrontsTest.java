package mintstair.serve;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import mintstair.backend.Protocol;
import mintstair.backend.mongo.MongoProtocol;
import mintstair.backend.pg.PgProtocol;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.config.ListReader;
import mintstair.front.mongo.MongoFront;
import mintstair.front.pg.PgFront;
import mintstair.program.Program;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import mintstair.standin.MongoHost;
import mintstair.standin.PgHost;
import mintstair.standin.StandInHost;
import mintstair.standin.StandInHost.Act;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.junit.jupiter.api.Test;

/** One recorded mix of classes and of troubles, through both fronts: the same decisions, the same answers. */
class BothFrontsTest {
    /** Positions far from the present, so that no decision hangs on how fast this machine is. */
    private static final long NOW = 1_800_000_000_000L;

    private static final long AHEAD = NOW + 3_600_000;
    private static final long BEHIND = NOW - 3_600_000;

    private record Asked(boolean write, String comment, int deadline) {}

    /** Makes one kind of stand-in host. */
    interface Maker {
        StandInHost host(String name, boolean primary, long position) throws IOException;
    }

    private static List<Asked> mix() {
        List<Asked> mix = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            String[] kinds = {"any", "bounded", "session", "write", "session", "any", "bounded"};
            String c = kinds[i % kinds.length];
            String after = c.equals("session") ? ",after=" + (i % 2 == 0 ? NOW : AHEAD + 1000) : "";
            mix.add(new Asked(c.equals("write"), "id=m" + i + ",c=" + c + ",cluster=1" + after, 4000));
        }
        mix.add(new Asked(false, "id=error,c=any,cluster=1", 4000));
        mix.add(new Asked(true, "id=break,c=write,cluster=1", 4000));
        mix.add(new Asked(false, "id=silent,c=any,cluster=1", 300));
        mix.add(new Asked(false, "id=cut,c=any,cluster=1", 4000));
        mix.add(new Asked(true, "id=full,c=write,cluster=1", 30));
        return mix;
    }

    private static List<StandInHost> hosts(Maker maker, List<String> decisions) throws IOException {
        List<StandInHost> hosts = List.of(
                maker.host("p", true, AHEAD),
                maker.host("r1", false, AHEAD),
                maker.host("r2", false, BEHIND),
                maker.host("r3", false, AHEAD));
        for (StandInHost h : hosts) {
            h.witness = decisions::add;
            h.script.put("break", Act.BREAK);
            h.script.put("silent", Act.SILENT);
            h.script.put("full", Act.FULL);
        }
        // Only some hosts fail these, so that a further attempt is served.
        for (StandInHost h : hosts.subList(2, 4)) {
            h.script.put("error", Act.ERROR);
            h.script.put("cut", Act.BREAK);
        }
        return hosts;
    }

    /** Plays the mix, one request after the other, on a clock that moves only between and by time-outs. */
    private static List<String> play(Protocol protocol, List<StandInHost> hosts, TCPNIOTransport transport)
            throws IOException {
        AtomicLong clock = new AtomicLong(NOW * 1000);
        boolean pg = protocol instanceof PgProtocol;
        String listed = hosts.stream().map(h -> h.listed("SERVING")).collect(Collectors.joining(","));
        EndpointList list =
                ListReader.read(Json.read(("{\"rev\":1,\"all\":true,\"targets\":[" + listed + "]}").getBytes()));
        InstanceSettings env = new InstanceSettings((Map<?, ?>)
                Json.read(Program.SETTINGS.replace("PROBING", "false").getBytes()));
        try (EventLoop loop = new EventLoop(clock::get)) {
            ProtocolService service = new ProtocolService(
                    loop,
                    transport,
                    protocol,
                    20261201,
                    env,
                    100,
                    (dispatcher, counters) -> pg
                            ? new PgFront(loop, dispatcher, transport, counters, 10)
                            : new MongoFront(loop, dispatcher, transport, counters, 10));
            service.begin(null, list, false);
            int port = service.open(new InetSocketAddress("127.0.0.1", 0), null);
            List<String> answers = new ArrayList<>();
            try (Client client = pg ? new Client.Pg(port) : new Client.Mongo(port)) {
                for (Asked a : mix()) {
                    client.send(a.write, a.comment, a.deadline);
                    if (a.comment.startsWith("id=silent")) {
                        Program.await(() -> hosts.stream().anyMatch(h -> h.seen.contains("silent")), "an attempt");
                        clock.addAndGet(a.deadline * 1000L);
                    } else if (a.comment.startsWith("id=full")) {
                        Program.await(
                                () -> counters(loop, service).contains(" ended_turned_away=1"), "the host's refusal");
                        clock.addAndGet(a.deadline * 1000L);
                    }
                    answers.add(a.comment + ": " + client.answer());
                    clock.addAndGet(10_000);
                }
            }
            service.front.stopListening();
            return answers;
        }
    }

    private static String counters(EventLoop loop, ProtocolService service) {
        CompletableFuture<String> line = new CompletableFuture<>();
        loop.execute(() -> line.complete(service.counters.toString()));
        return line.join();
    }

    @Test
    void theSameMixIsDecidedAndAnsweredAlike() throws IOException {
        List<String> pgDecisions = Collections.synchronizedList(new ArrayList<>());
        List<String> mongoDecisions = Collections.synchronizedList(new ArrayList<>());
        List<StandInHost> pg = hosts(PgHost::new, pgDecisions);
        List<StandInHost> mongo = hosts(MongoHost::new, mongoDecisions);
        TCPNIOTransport transport = Proxy.transport();
        transport.start();
        try {
            List<String> pgAnswers = play(new PgProtocol(), pg, transport);
            List<String> mongoAnswers = play(new MongoProtocol(), mongo, transport);
            assertEquals(pgAnswers, mongoAnswers);
            assertEquals(pgDecisions, mongoDecisions);
            // What is compared holds all that it should: each ending, and each kind of choice.
            assertEquals(
                    1, pgDecisions.stream().filter(d -> d.startsWith("break ")).count(), "a write runs once");
            assertTrue(pgAnswers.contains("id=m0,c=any,cluster=1: served m0"), pgAnswers.toString());
            for (String ending :
                    List.of("id=break,c=write,cluster=1: failed", "id=error,c=any,cluster=1: served error")) {
                assertTrue(pgAnswers.contains(ending), pgAnswers.toString());
            }
            assertTrue(
                    pgAnswers.stream().anyMatch(a -> a.startsWith("id=full") && a.contains("refused")), "" + pgAnswers);
            assertTrue(pgDecisions.stream().anyMatch(d -> d.endsWith(" r2")), "any reads use the one behind");
            assertTrue(pgDecisions.contains("m3 at p") && pgDecisions.contains("m11 at p"), "" + pgDecisions);
        } finally {
            transport.shutdownNow();
            for (StandInHost h : pg) {
                h.close();
            }
            for (StandInHost h : mongo) {
                h.close();
            }
        }
    }
}
