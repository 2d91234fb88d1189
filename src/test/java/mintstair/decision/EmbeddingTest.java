package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import mintstair.decision.SplitterApi.Ending;
import mintstair.decision.SplitterApi.Freshness;
import mintstair.decision.SplitterApi.Guards;
import mintstair.decision.SplitterApi.HostEntry;
import mintstair.decision.SplitterApi.HostState;
import mintstair.decision.SplitterApi.Limits;
import mintstair.decision.SplitterApi.ListKind;
import mintstair.decision.SplitterApi.Outcome;
import mintstair.decision.SplitterApi.ReadCheck;
import mintstair.decision.SplitterApi.Repeat;
import mintstair.decision.SplitterApi.RepeatScope;
import mintstair.decision.SplitterApi.Report;
import mintstair.decision.SplitterApi.Request;
import mintstair.decision.SplitterApi.RequestClass;
import mintstair.decision.SplitterApi.Role;
import mintstair.decision.SplitterApi.Settings;
import org.junit.jupiter.api.Test;

/** The README's example of embedding the module in a router. */
class EmbeddingTest {
    /** A router's side: it would send, answer, probe and set timers; here it notes what was asked. */
    static final class MyActions implements SplitterApi.Actions {
        final List<String> asked = new ArrayList<>();

        @Override
        public void send(long id, String host, long abandonAt, long beginBy) {
            asked.add("send " + id + " to " + host);
        }

        @Override
        public void cancel(long id, int attempt) {
            asked.add("cancel " + id);
        }

        @Override
        public void refuse(long id, long comeBack) {
            asked.add("refuse " + id);
        }

        @Override
        public void fail(long id) {
            asked.add("fail " + id);
        }

        @Override
        public void probe(String host) {}

        @Override
        public void timer(String name, long after) {}

        @Override
        public void subscribe() {}

        @Override
        public void tellPeers(String text) {}

        @Override
        public void log(String text) {}
    }

    @Test
    void aWriteAndTheReadThatFollowsIt() {
        RequestClass write = new RequestClass(
                "write", Freshness.WRITE, Repeat.UNSAFE, RepeatScope.ALL, 0, 1_000_000, 3_000_000, 0, 4, 0.5);
        RequestClass read = new RequestClass(
                "read", Freshness.SESSION, Repeat.SAFE, RepeatScope.ALL, 0, 400_000, 1_200_000, 0, 3, 0);
        Settings settings = new Settings(
                1,
                0,
                "here",
                List.of(write, read),
                List.of(),
                1,
                true,
                ReadCheck.NONE,
                true,
                false,
                false,
                false,
                0.01,
                0,
                new Guards(1_000_000, 0.2, 10_000_000, 3, 2_000_000, false),
                new Limits(6, true, true, false, true, true, 500_000));
        MyActions actions = new MyActions();
        long now = 5_000_000;
        SplitterApi.Router router = new ReadWriteSplitter(now, 42, settings, actions);
        router.onList(
                now,
                ListKind.WHOLE,
                List.of(
                        new HostEntry("db1", false, "here", 0, HostState.READY, 1, 0),
                        new HostEntry("db2", false, "here", 0, HostState.READY, 1, 0)));
        router.onProbed(now, "db1", Ending.OK, 300, new Report(now, Role.PRIMARY));
        router.onProbed(now, "db2", Ending.OK, 300, new Report(now, Role.REPLICA));
        router.onRequest(now, new Request(1, 0, 0, "ann", -1, false, 3_000_000, SplitterApi.UNKNOWN));
        now += 40_000;
        router.onOutcome(now, new Outcome(1, 0, "db1", Ending.OK, 40_000, true, Role.PRIMARY, now));
        router.onRequest(now, new Request(2, 1, 0, "ann", -1, false, 1_200_000, SplitterApi.UNKNOWN));
        router.onProbed(now, "db2", Ending.OK, 300, new Report(now, Role.REPLICA));
        router.onRequest(now, new Request(3, 1, 0, "ann", -1, false, 1_200_000, SplitterApi.UNKNOWN));
        assertEquals(List.of("send 1 to db1", "send 2 to db2", "send 3 to db2"), actions.asked);
    }
}
