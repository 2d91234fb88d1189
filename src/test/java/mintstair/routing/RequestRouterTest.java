package mintstair.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mintstair.request.AttemptVerdict;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.Exchange;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import org.junit.jupiter.api.Test;

class RequestRouterTest {
    private static final long NOW_MICROS = 1_700_000_000_000_000L;
    private static final long TIMEOUT_MICROS = 5_000_000;
    private static final long NUMBER = 1;
    private static final String PRIMARY = "p";
    private static final ProxyRequest WRITE = new ProxyRequest(
            "id", "write", 1, null, false, TIMEOUT_MICROS, HostReport.UNKNOWN_POSITION, timeout -> new byte[0], null);

    private final RequestRouter router = RouterFixtures.router(NOW_MICROS);

    private void listPrimary(EndpointList.State state) {
        EndpointList list = new EndpointList(1, true, List.of(RouterFixtures.primary(PRIMARY, state)));
        router.handle(NOW_MICROS, new RouterEvent.EndpointsUpdated(list, false));
    }

    private RouterAction.Send routeWrite() {
        List<RouterAction> actions = router.route(NOW_MICROS, NUMBER, WRITE);
        assertEquals(1, actions.size());
        return (RouterAction.Send) actions.get(0);
    }

    private RouterEvent.AttemptEnded ended(ConnectionEnd end) {
        return new RouterEvent.AttemptEnded(NUMBER, 0, PRIMARY, end, 1_000, false, HostReport.NONE);
    }

    @Test
    void writeIsSentToThePrimary() {
        listPrimary(EndpointList.State.SERVING);

        RouterAction.Send attempt = routeWrite();

        assertEquals(PRIMARY, attempt.host());
        assertEquals(NUMBER, attempt.request());
        assertEquals(0, attempt.attempt());
    }

    @Test
    void writeThatMayHaveRunIsFailedWhenItsAttemptEnds() {
        listPrimary(EndpointList.State.SERVING);
        routeWrite();

        List<RouterAction> actions = router.handle(NOW_MICROS, ended(ConnectionEnd.BROKEN_AFTER_WRITTEN));

        assertTrue(actions.contains(new RouterAction.Fail(NUMBER)), actions.toString());
    }

    @Test
    void endOfAnAttemptOfAnUnknownRequestLeadsToNothing() {
        listPrimary(EndpointList.State.SERVING);

        assertEquals(List.of(), router.handle(NOW_MICROS, ended(ConnectionEnd.SERVED)));
    }

    @Test
    void attemptMayNotBeginAtAHostThatDrainsByNow() {
        listPrimary(EndpointList.State.SERVING);
        RouterAction.Send attempt = routeWrite();
        Exchange exchange = new Exchange(NUMBER, WRITE, NOW_MICROS, response -> {});
        long abandonAtMicros = exchange.deadlineMicros();
        assertEquals(AttemptVerdict.MAY_BEGIN, router.mayBegin(NOW_MICROS, attempt, exchange, abandonAtMicros));

        listPrimary(EndpointList.State.DRAINING);

        assertEquals(AttemptVerdict.HOST_DRAINING, router.mayBegin(NOW_MICROS, attempt, exchange, abandonAtMicros));
    }

    @Test
    void secondAnswerToARequestViolatesAnInvariant() {
        listPrimary(EndpointList.State.SERVING);
        routeWrite();
        router.attemptStarted(NOW_MICROS, new RouterAction.Send(NUMBER, 0, PRIMARY, 0, Long.MAX_VALUE), 1_000);
        assertEquals(List.of(), router.responseStarted(NOW_MICROS, NUMBER));

        List<RouterAction> actions = router.responseStarted(NOW_MICROS, NUMBER);

        assertEquals(List.of(new RouterAction.InvariantViolated("answered_twice", NUMBER, "")), actions);
    }

    @Test
    void classesAreThoseOfTheSettings() {
        assertTrue(router.classes().contains("write"));
        assertFalse(router.classes().contains("unknown"));
        assertTrue(router.classes().isWrite("write"));
        assertFalse(router.classes().isWrite("bounded"));
        assertEquals(TIMEOUT_MICROS, router.classes().deadlineMicros("write"));
    }
}
