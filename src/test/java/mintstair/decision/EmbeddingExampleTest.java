package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/** Tests an example of a router that embeds the decision module. */
class EmbeddingExampleTest {
    /** Records the attempts and answers; a real router would send them, poll hosts and set timers. */
    static final class RecordingActions implements RouterActions {
        final List<String> recorded = new ArrayList<>();

        @Override
        public void send(long id, String host, long abandonAt, long beginBy) {
            recorded.add("send " + id + " to " + host);
        }

        @Override
        public void cancel(long id, int attempt) {
            recorded.add("cancel " + id);
        }

        @Override
        public void reject(long id, long retryAfterMicros) {
            recorded.add("reject " + id);
        }

        @Override
        public void fail(long id) {
            recorded.add("fail " + id);
        }

        @Override
        public void checkHealth(String host) {}

        @Override
        public void startTimer(String name, long delayMicros) {}

        @Override
        public void subscribe() {}

        @Override
        public void broadcast(String text) {}

        @Override
        public void log(String text) {}
    }

    /** Returns the settings with two request classes: 0 is a write, 1 a read of the writes of its session. */
    private static RouterSettings settings() {
        RequestClass write = new RequestClass(
                "write",
                Consistency.WRITE,
                Idempotency.NOT_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                1_000_000,
                3_000_000,
                0,
                4,
                0.5);
        RequestClass read = new RequestClass(
                "read",
                Consistency.SESSION,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                400_000,
                1_200_000,
                0,
                3,
                0);
        return new RouterSettings(
                1,
                0,
                "here",
                List.of(write, read),
                List.of(),
                1,
                true,
                ReplicaReadCheck.NONE,
                true,
                false,
                false,
                false,
                0.01,
                0,
                new ProtectionSettings(1_000_000, 0.2, 10_000_000, 3, 2_000_000, false),
                new AttemptLimits(6, true, true, false, true, true, 500_000));
    }

    @Test
    void readAfterAWriteIsSentToAHostThatHasTheWrite() {
        RecordingActions actions = new RecordingActions();
        long now = 5_000_000;
        Router router = new ReadWriteSplitter(now, 42, settings(), actions);
        router.onEndpoints(
                now,
                EndpointUpdateType.SNAPSHOT,
                List.of(
                        new EndpointEntry("db1", false, "here", 0, EndpointState.SERVING, 1, 0),
                        new EndpointEntry("db2", false, "here", 0, EndpointState.SERVING, 1, 0)));
        router.onHealthCheckEnded(
                now, "db1", AttemptOutcome.SUCCESS, 300, new ReplicationStatus(now, ReplicationRole.PRIMARY));
        router.onHealthCheckEnded(
                now, "db2", AttemptOutcome.SUCCESS, 300, new ReplicationStatus(now, ReplicationRole.REPLICA));
        router.onRequest(now, new RoutingRequest(1, 0, 0, "ann", -1, false, 3_000_000, Positions.UNKNOWN));
        now += 40_000;
        router.onAttemptEnded(
                now,
                new AttemptResult(
                        1, 0, "db1", AttemptOutcome.SUCCESS, 40_000, true, ReplicationRole.PRIMARY, now, now));
        router.onRequest(now, new RoutingRequest(2, 1, 0, "ann", -1, false, 1_200_000, Positions.UNKNOWN));
        router.onHealthCheckEnded(
                now, "db2", AttemptOutcome.SUCCESS, 300, new ReplicationStatus(now, ReplicationRole.REPLICA));
        router.onRequest(now, new RoutingRequest(3, 1, 0, "ann", -1, false, 1_200_000, Positions.UNKNOWN));
        assertEquals(List.of("send 1 to db1", "send 2 to db2", "send 3 to db2"), actions.recorded);
    }
}
