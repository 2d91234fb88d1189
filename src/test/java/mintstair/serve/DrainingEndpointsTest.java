package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.config.ListReader;
import mintstair.program.Program;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import mintstair.standin.Relay;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * How soon a draining host gets no more requests, at one of 100 proxies with 120 hosts, whatever becomes of the
 * watch: an update counts from when its agent has it, and one that an unresponsive watch misses after 6 s.
 */
class DrainingEndpointsTest extends ServiceFixture {
    /** No request goes to a host later than this after it began to drain. */
    private static final long GRACE_MILLIS = 1_000;

    private static final long UNRESPONSIVE_MILLIS = 6_000;

    private Discovery agent;
    private Relay relay;
    private int hosts = 120;

    @BeforeEach
    void start() throws IOException {
        agent = new Discovery(Discovery.hosts(hosts));
        open.add(agent);
        relay = new Relay(agent.port());
        open.add(0, relay);
        service = service(100, "automatic", "0.25");
    }

    private ProtocolService service(int fleetSize, String discovery, String connectTimeout) {
        return newService(settings(fleetSize, discovery, connectTimeout), 16, 16);
    }

    private static InstanceSettings settings(int fleetSize, String discovery, String connectTimeout) {
        return TestSettings.with(
                "\"connectTimeoutS\":0.25",
                "\"connectTimeoutS\":" + connectTimeout,
                "automatic",
                discovery,
                "\"balancers\":1,",
                "\"balancers\":" + fleetSize + ",");
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Begins from the list as it is at first. */
    private void begin() throws IOException {
        String known = "{\"rev\":1,\"all\":true,\"targets\":[" + Discovery.hosts(hosts) + "]}";
        service.start(address(relay.port()), ListReader.read(Json.read(known.getBytes(StandardCharsets.UTF_8))), true);
    }

    /** The same; a watch is open on return. */
    private void watch() throws IOException {
        begin();
        Program.await(() -> agent.asked.size() > 1, "a watch");
    }

    private void drain(String host) {
        agent.tell(Discovery.hosts(hosts, host + "=DRAINING"));
    }

    /** The router excludes one host within this time. */
    private void awaitDrainingWithin(long millis) {
        long began = System.nanoTime();
        Program.await(() -> metric("db_hosts_excluded") == 1, "the update");
        long took = (System.nanoTime() - began) / 1_000_000;
        assertTrue(took < millis, took + " ms");
    }

    private void awaitAttempts() {
        long failed = service.counters.listCallsFailed;
        Program.await(() -> service.counters.listCallsFailed > failed + 4, "some attempts");
    }

    @Test
    void watchThatIsResetIsReopenedAtOnce() throws IOException {
        watch();
        relay.cut();
        drain("h7");
        awaitDrainingWithin(GRACE_MILLIS);
    }

    /** Where all proxies call one service, only calls that it rejected are spread in time. */
    @Test
    void watchOnASharedServiceThatIsResetIsReopenedSoon() throws IOException {
        service = service(100, "subscribe", "0.25");
        watch();
        relay.cut();
        drain("h7");
        awaitDrainingWithin(UNRESPONSIVE_MILLIS / 2);
    }

    @Test
    void unresponsiveWatchIsReopenedBeforeWhatItMissesCounts() throws IOException {
        watch();
        relay.mute();
        drain("h7");
        awaitDrainingWithin(UNRESPONSIVE_MILLIS);
    }

    @Test
    void incompleteResponseIsRequestedAgain() throws IOException {
        watch();
        relay.tear(3_000);
        drain("h7");
        awaitDrainingWithin(GRACE_MILLIS);
    }

    @Test
    void agentThatRefusedIsCalledAsSoonAsItListens() throws IOException {
        watch();
        relay.refuse(true);
        awaitAttempts();
        drain("h7");
        relay.refuse(false);
        awaitDrainingWithin(GRACE_MILLIS);
    }

    @Test
    void updateOfAnOutageIsKnownSoonAfterIt() throws IOException {
        watch();
        relay.silence(true);
        int calls = agent.asked.size();
        awaitAttempts();
        assertTrue(relay.connections.get() < 20, "no more than a few calls a second: " + relay.connections);
        assertEquals(calls, agent.asked.size(), "nothing passes");
        drain("h7");
        relay.silence(false);
        awaitDrainingWithin(GRACE_MILLIS);
        assertTrue(
                agent.asked.stream().skip(calls).anyMatch("index=1&wait=1"::equals),
                "no long poll that hides a further outage");
    }

    /** A list that cannot be read changes nothing, and a snapshot is requested at once. */
    @Test
    void unreadableDeltaIsReplacedByASnapshot() throws IOException {
        watch();
        int before = agent.asked.size();
        agent.tell("{\"uid\":17}");
        Program.await(() -> agent.asked.stream().skip(before).anyMatch("null"::equals), "a call for the whole list");
        assertEquals(hosts, metric("db_hosts_known"));
        drain("h7");
        awaitDrainingWithin(GRACE_MILLIS);
    }

    /** An entry with an impossible port must not withhold the other entries of its list. */
    @Test
    void drainingHostIsKnownThoughAnotherEntryOfItsListCannotBeUsed() throws IOException {
        watch();
        agent.tell(Discovery.hosts(hosts, "h7=DRAINING").replaceFirst("127.0.0.1:1\"", "127.0.0.1:99999\""));
        awaitDrainingWithin(GRACE_MILLIS);
        agent.tell(Discovery.hosts(hosts, "h7=DRAINING"));
        Program.await(
                () -> metric("db_hosts_known") == hosts && metric("db_hosts_excluded") == 1,
                "the entry once it can be used");
    }

    /** An update counts from a process's first moment, whose own list is older. */
    @Test
    void newProcessLearnsAtOnceWhatItsCachedListLacks() throws IOException {
        drain("h7");
        relay.tear(3_000);
        begin();
        awaitDrainingWithin(GRACE_MILLIS);
    }

    /** A host that is removed, and one that returns under its name. */
    @Test
    void removedHostsAreExcludedAtOnceAndReturnWhenListed() throws IOException {
        watch();
        relay.cut();
        drain("h7");
        awaitDrainingWithin(GRACE_MILLIS);
        relay.cut();
        agent.tell(Discovery.hosts(hosts - 1));
        Program.await(
                () -> metric("db_hosts_known") == hosts - 1 && metric("db_hosts_excluded") == 0,
                "one removed, the other back");
        agent.tell(Discovery.hosts(hosts));
        Program.await(() -> metric("db_hosts_known") == hosts, "the one listed anew");
    }

    /**
     * At a reload the previous discovery is watched until the new one, called as soon as it listens, has sent its
     * list.
     */
    @Test
    void previousDiscoveryIsWatchedUntilTheNewOneHasReported() throws IOException {
        watch();
        try (Discovery newDiscovery = new Discovery(Discovery.hosts(hosts - 1, "h8=DRAINING"));
                Relay newRelay = new Relay(newDiscovery.port())) {
            newRelay.refuse(true);
            loop.execute(() -> service.changeDiscoveryService(address(newRelay.port())));
            awaitAttempts();
            drain("h7");
            awaitDrainingWithin(GRACE_MILLIS);
            newRelay.refuse(false);
            Program.await(() -> metric("db_hosts_known") == hosts - 1, "the new list");
            agent.tell(Discovery.hosts(hosts));
            int calls = newDiscovery.asked.size();
            Program.await(() -> newDiscovery.asked.size() > calls + 1, "the new watch");
            assertEquals(hosts - 1, metric("db_hosts_known"), "the previous one is not watched any more");
            awaitDrainingWithin(GRACE_MILLIS);
        }
    }

    /** Guards against a call made by a long timeout, once the settings have a short one. */
    @Test
    void callInFlightWhenSettingsChangeTimesOutByTheNewPacing() throws IOException {
        service = service(100, "subscribe", "0.25");
        watch();
        relay.mute();
        InstanceSettings pushed = settings(100, "automatic", "0.25");
        loop.execute(() -> service.applySettings(pushed));
        drain("h7");
        awaitDrainingWithin(UNRESPONSIVE_MILLIS / 2);
    }

    /** Guards against delays, or sizes, that grow with the number of proxies past what was tried before. */
    @Test
    void oneOfAThousandProxiesWithAThousandHostsLearnsItAsSoon() throws IOException {
        hosts = 1024;
        agent.tell(Discovery.hosts(hosts));
        service = service(1024, "automatic", "0.25");
        watch();
        relay.cut();
        drain("h1023");
        awaitDrainingWithin(GRACE_MILLIS);
    }

    private static EndpointList.Entry replica(String name, int port, EndpointList.State state) {
        return new EndpointList.Entry(name, "127.0.0.1:" + port, "a", 1, state, false, 1, 0);
    }

    /**
     * Guards against attempts that were decided before the update and written after it, as connections come up late.
     */
    @Test
    void readThatWaitsForADrainingHostsConnectionIsServedElsewhere() throws IOException {
        service = service(100, "automatic", "20");
        try (ServerSocket unresponsive = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                PgHost other = new PgHost("other", false, 5)) {
            EndpointList.Entry before =
                    replica("unresponsive", unresponsive.getLocalPort(), EndpointList.State.SERVING);
            service.start(null, new EndpointList(1, true, List.of(before)), false);
            int port = service.acceptClients(address(0), null);
            try (Client client = new Client.Pg(port)) {
                client.send(false, "id=held,c=any,cluster=1", 15_000);
                unresponsive.accept();
                EndpointList.Entry draining =
                        replica("unresponsive", unresponsive.getLocalPort(), EndpointList.State.DRAINING);
                loop.execute(() -> service.onStoreEndpoints(new EndpointList(
                        2, true, List.of(draining, replica("other", other.port(), EndpointList.State.SERVING)))));
                assertEquals("served held", client.answer());
            }
            service.front.stopListening();
        }
    }
}
