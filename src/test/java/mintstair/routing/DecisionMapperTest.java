package mintstair.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import mintstair.decision.AttemptOutcome;
import mintstair.decision.EndpointUpdateType;
import mintstair.decision.Positions;
import mintstair.decision.ReplicationStatus;
import mintstair.request.ConnectionEnd;
import mintstair.request.EndpointList;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

class DecisionMapperTest {
    private static final long NOW_MICROS = 1_700_000_000_000_000L;

    private static long tokenAgeMicros(long minimumPositionMicros) {
        ProxyRequest request = new ProxyRequest(
                "id", "session", 1, "s", false, 1_000_000, minimumPositionMicros, timeout -> new byte[0], null);
        return DecisionMapper.request(NOW_MICROS, 1, 0, request).tokenAgeMicros();
    }

    /** A request can be retried without taking effect twice after these ends; after all others it may have run. */
    @Test
    void onlyAttemptsThatEndedBeforeExecutionHadNoEffect() {
        List<ConnectionEnd> withoutEffect = List.of(
                ConnectionEnd.MISS,
                ConnectionEnd.TURNED_AWAY,
                ConnectionEnd.CONNECT_FAILED,
                ConnectionEnd.CONNECT_TIMEOUT,
                ConnectionEnd.BROKEN_BEFORE_WRITTEN,
                ConnectionEnd.NEVER_SENT);
        for (ConnectionEnd end : ConnectionEnd.values()) {
            assertEquals(
                    withoutEffect.contains(end), DecisionMapper.outcome(end).hadNoEffect(), end.name());
        }
    }

    @Test
    void exactlyServedEndsMapToSuccess() {
        for (ConnectionEnd end : ConnectionEnd.values()) {
            assertEquals(end.isServed(), DecisionMapper.outcome(end) == AttemptOutcome.SUCCESS, end.name());
        }
    }

    @Test
    void tokenAgeIsTheTimeElapsedSinceTheCommit() {
        assertEquals(Positions.UNKNOWN, tokenAgeMicros(HostReport.UNKNOWN_POSITION));
        assertEquals(250, tokenAgeMicros(NOW_MICROS - 250));
    }

    @Test
    void commitTimeAheadOfThisClockIsNotMistakenForMissingToken() {
        assertEquals(-2, tokenAgeMicros(NOW_MICROS + 1));
        assertEquals(-2, tokenAgeMicros(NOW_MICROS + 2));
    }

    @Test
    void reportWithoutRoleMapsToNoStatus() {
        assertNull(DecisionMapper.status(HostReport.NONE));
        assertEquals(
                new ReplicationStatus(5, ReplicationRole.REPLICA),
                DecisionMapper.status(new HostReport(ReplicationRole.REPLICA, 5, 6)));
    }

    @Test
    void cachedListHasItsOwnUpdateType() {
        EndpointList snapshot = new EndpointList(1, true, List.of());
        EndpointList delta = new EndpointList(2, false, List.of());

        assertEquals(EndpointUpdateType.SNAPSHOT, DecisionMapper.updateType(snapshot, false));
        assertEquals(EndpointUpdateType.DELTA, DecisionMapper.updateType(delta, false));
        assertEquals(EndpointUpdateType.CACHED, DecisionMapper.updateType(snapshot, true));
    }

    @Test
    void everyEndpointStateMapsToStateOfSameName() {
        for (EndpointList.State state : EndpointList.State.values()) {
            assertEquals(state.name(), DecisionMapper.state(state).name());
        }
    }
}
