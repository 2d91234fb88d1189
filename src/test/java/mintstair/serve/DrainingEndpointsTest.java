package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import mintstair.config.EndpointListReader;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.program.Program;
import mintstair.request.EndpointList;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import mintstair.standin.TcpRelay;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests how soon a draining host gets no more requests, for one of 100 proxies with 120 hosts, under various failures
 * of the watch. The time is measured from when the agent has the update; 6 s are allowed for an update that an
 * unresponsive watch has missed.
 */
class DrainingEndpointsTest extends ServiceFixture {
    /** The time after which a draining host must get no more requests. */
    private static final long GRACE_MILLIS = 1_000;

    private static final long UNRESPONSIVE_MILLIS = 6_000;

    private Discovery agent;
    private TcpRelay relay;
    private int hosts = 120;

    @BeforeEach
    void start() throws IOException {
        agent = new Discovery(Discovery.hosts(hosts));
        resources.add(agent);
        relay = new TcpRelay(agent.port());
        resources.add(0, relay);
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

    /** Starts the service with the initial list. */
    private void startService() throws IOException {
        String known = "{\"rev\":1,\"all\":true,\"targets\":[" + Discovery.hosts(hosts) + "]}";
        service.start(
                address(relay.port()),
                EndpointListReader.read(Json.read(known.getBytes(StandardCharsets.UTF_8))),
                true);
    }

    /** Starts the service with the initial list and waits until a watch is open. */
    private void startWatch() throws IOException {
        startService();
        Program.await(() -> agent.queries.size() > 1, "a watch");
    }

    private void drain(String host) {
        agent.publish(Discovery.hosts(hosts, host + "=DRAINING"));
    }

    /** Asserts that the router excludes one host within this time. */
    private void assertExcludedWithin(long millis) {
        long startNanos = System.nanoTime();
        Program.await(() -> metric("db_hosts_excluded") == 1, "the update");
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(elapsedMillis < millis, elapsedMillis + " ms");
    }

    private void awaitFailedCalls() {
        long failed = service.counters.discoveryCallsFailed;
        Program.await(() -> service.counters.discoveryCallsFailed > failed + 4, "five failed calls");
    }

    @Test
    void watchIsReopenedAtOnceAfterAReset() throws IOException {
        startWatch();
        relay.closeAll();
        drain("h7");
        assertExcludedWithin(GRACE_MILLIS);
    }

    /** If all proxies call one service, only calls after a rejection are spread over time, not those after a reset. */
    @Test
    void watchOnASharedServiceIsReopenedSoonAfterAReset() throws IOException {
        service = service(100, "subscribe", "0.25");
        startWatch();
        relay.closeAll();
        drain("h7");
        assertExcludedWithin(UNRESPONSIVE_MILLIS / 2);
    }

    @Test
    void unresponsiveWatchIsReopenedInTime() throws IOException {
        startWatch();
        relay.muteOpenConnections();
        drain("h7");
        assertExcludedWithin(UNRESPONSIVE_MILLIS);
    }

    @Test
    void listIsRequestedAgainAfterAnIncompleteResponse() throws IOException {
        startWatch();
        relay.closeAfter(3_000);
        drain("h7");
        assertExcludedWithin(GRACE_MILLIS);
    }

    @Test
    void updateIsReceivedSoonAfterAnAgentThatRefusedConnectionsListens() throws IOException {
        startWatch();
        relay.setRefusing(true);
        awaitFailedCalls();
        drain("h7");
        relay.setRefusing(false);
        assertExcludedWithin(GRACE_MILLIS);
    }

    @Test
    void updateMadeDuringAnOutageIsReceivedSoonAfterIt() throws IOException {
        startWatch();
        relay.setSilent(true);
        int calls = agent.queries.size();
        awaitFailedCalls();
        assertTrue(relay.connections.get() < 20, "no more than a few calls a second: " + relay.connections);
        assertEquals(calls, agent.queries.size(), "no call reaches the agent");
        drain("h7");
        relay.setSilent(false);
        assertExcludedWithin(GRACE_MILLIS);
        assertTrue(
                agent.queries.stream().skip(calls).anyMatch("index=1&wait=1"::equals),
                "expected a short poll first, as a long poll would hide another outage");
    }

    /** A malformed delta changes nothing, and a snapshot is requested at once. */
    @Test
    void snapshotIsRequestedAfterAMalformedDelta() throws IOException {
        startWatch();
        int before = agent.queries.size();
        agent.publish("{\"uid\":17}");
        Program.await(() -> agent.queries.stream().skip(before).anyMatch("null"::equals), "a call for a snapshot");
        assertEquals(hosts, metric("db_hosts_known"));
        drain("h7");
        assertExcludedWithin(GRACE_MILLIS);
    }

    /** Guards against an entry with an invalid port that causes the other entries of its list to be ignored. */
    @Test
    void drainingHostIsExcludedIfAnotherEntryOfItsListIsInvalid() throws IOException {
        startWatch();
        agent.publish(Discovery.hosts(hosts, "h7=DRAINING").replaceFirst("127.0.0.1:1\"", "127.0.0.1:99999\""));
        assertExcludedWithin(GRACE_MILLIS);
        agent.publish(Discovery.hosts(hosts, "h7=DRAINING"));
        Program.await(
                () -> metric("db_hosts_known") == hosts && metric("db_hosts_excluded") == 1, "the corrected entry");
    }

    /** The configured list of a new process is older than that of the agent. */
    @Test
    void newProcessAppliesAtOnceAnUpdateThatItsConfiguredListLacks() throws IOException {
        drain("h7");
        relay.closeAfter(3_000);
        startService();
        assertExcludedWithin(GRACE_MILLIS);
    }

    /** A removed host that is listed again under the same name is known again. */
    @Test
    void removedHostIsForgottenAndKnownAgainWhenListed() throws IOException {
        startWatch();
        relay.closeAll();
        drain("h7");
        assertExcludedWithin(GRACE_MILLIS);
        relay.closeAll();
        agent.publish(Discovery.hosts(hosts - 1));
        Program.await(
                () -> metric("db_hosts_known") == hosts - 1 && metric("db_hosts_excluded") == 0,
                "one host to be removed and the draining one to serve");
        agent.publish(Discovery.hosts(hosts));
        Program.await(() -> metric("db_hosts_known") == hosts, "the host that is listed again");
    }

    /**
     * After a reload the previous discovery service is watched until the new one, which does not listen at first, has
     * sent a list.
     */
    @Test
    void previousDiscoveryIsWatchedUntilTheNewOneHasSentAList() throws IOException {
        startWatch();
        try (Discovery newDiscovery = new Discovery(Discovery.hosts(hosts - 1, "h8=DRAINING"));
                TcpRelay newRelay = new TcpRelay(newDiscovery.port())) {
            newRelay.setRefusing(true);
            loop.execute(() -> service.changeDiscoveryService(address(newRelay.port())));
            awaitFailedCalls();
            drain("h7");
            assertExcludedWithin(GRACE_MILLIS);
            newRelay.setRefusing(false);
            Program.await(() -> metric("db_hosts_known") == hosts - 1, "the new list");
            agent.publish(Discovery.hosts(hosts));
            int calls = newDiscovery.queries.size();
            Program.await(() -> newDiscovery.queries.size() > calls + 1, "the new watch");
            assertEquals(hosts - 1, metric("db_hosts_known"), "the previous service is no longer watched");
            assertExcludedWithin(GRACE_MILLIS);
        }
    }

    /** Guards against a call in flight that keeps its long timeout after a reload has set a short one. */
    @Test
    void callInFlightDuringAReloadTimesOutByTheNewSettings() throws IOException {
        service = service(100, "subscribe", "0.25");
        startWatch();
        relay.muteOpenConnections();
        InstanceSettings changed = settings(100, "automatic", "0.25");
        loop.execute(() -> service.applySettings(changed));
        drain("h7");
        assertExcludedWithin(UNRESPONSIVE_MILLIS / 2);
    }

    /** Guards against delays and list sizes that grow with the number of proxies and hosts. */
    @Test
    void drainingHostIsExcludedAsSoonWithAThousandProxiesAndHosts() throws IOException {
        hosts = 1024;
        agent.publish(Discovery.hosts(hosts));
        service = service(1024, "automatic", "0.25");
        startWatch();
        relay.closeAll();
        drain("h1023");
        assertExcludedWithin(GRACE_MILLIS);
    }

    private static EndpointList.Entry replica(String name, int port, EndpointList.State state) {
        return new EndpointList.Entry(name, "127.0.0.1:" + port, "a", 1, state, false, 1, 0);
    }

    /**
     * Guards against attempts that were decided before the update and are written after it, because their connection
     * was established late.
     */
    @Test
    void readWaitingForAConnectionToADrainingHostIsServedByAnotherHost() throws IOException {
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
