package mintstair.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mintstair.registry.view.Change;
import mintstair.registry.view.Event;
import mintstair.registry.view.Header;
import mintstair.registry.view.Item;
import mintstair.registry.view.Limits;
import mintstair.registry.view.Names;
import mintstair.registry.view.Order;
import mintstair.registry.view.PollView;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Snapshot;
import mintstair.registry.view.Step;
import mintstair.registry.view.Times;
import mintstair.registry.view.ViewUpdate;
import mintstair.registry.view.WatchView;
import mintstair.request.EndpointList;
import org.junit.jupiter.api.Test;

/** The hard cases of a registry one by one, step by step. */
class ViewTest {
    private static final Names NAMES = new Names("reg/", List.of("postgresql"));
    private static final Limits SMALL = new Limits(60, 200, 300, 5, 10_000, 2_000);
    private long now = 1_000_000_000;
    private RegistryView view = new WatchView(NAMES, SMALL, Times.USUAL, 3, 1);
    private final List<ViewUpdate> told = new ArrayList<>();
    private List<Order> orders = List.of();

    private static Item item(String uid, int version, long created, long modified) {
        return raw("reg/postgresql/hosts/" + uid, ScheduleTest.host(uid, version), created, modified);
    }

    private static Item raw(String key, String value, long created, long modified) {
        return new Item(key, value.getBytes(StandardCharsets.UTF_8), created, modified);
    }

    private static Change put(Item item) {
        return new Change(false, item);
    }

    private static Change deleted(String uid, long at) {
        return new Change(true, new Item("reg/postgresql/hosts/" + uid, new byte[0], 0, at));
    }

    private static Header at(long revision) {
        return new Header(7, revision, 3);
    }

    private void take(Step step) {
        orders = step.orders();
        told.addAll(step.told());
    }

    private long call() {
        Order last = orders.get(orders.size() - 1);
        return last instanceof Order.Read r
                ? r.call()
                : last instanceof Order.Watch w
                        ? w.call()
                        : last instanceof Order.Check c ? c.call() : ((Order.Poll) last).call();
    }

    private void on(Event event) {
        take(view.on(now, event));
    }

    /** A whole view of these items at the revision, and a watch that has shown its first sign of life; returns the watch's call. */
    private long live(long revision, Item... items) {
        take(view.start(now, null));
        on(new Event.Page(call(), at(revision), List.of(items), false));
        long watch = call();
        on(new Event.Watching(watch, at(revision)));
        on(new Event.Reached(watch, at(revision)));
        on(new Event.Progress(watch, at(revision)));
        told.clear();
        return watch;
    }

    /** Lets time pass until the view orders something besides a cancel. */
    private Order next() {
        for (int i = 0; i < 100; i++) {
            now = Math.max(now, view.wakeAt());
            take(view.tick(now));
            if (!orders.isEmpty() && !(orders.get(orders.size() - 1) instanceof Order.Cancel)) {
                return orders.get(orders.size() - 1);
            }
        }
        throw new AssertionError("nothing is ordered");
    }

    private String shown() {
        return told.stream()
                .filter(t -> t instanceof ViewUpdate.Endpoints)
                .flatMap(t -> ((ViewUpdate.Endpoints) t).list().entries().stream())
                .map(e -> e.host() + (e.state() == EndpointList.State.REMOVED ? "-" : "=" + e.started() / 1000))
                .collect(Collectors.joining(" "));
    }

    private long count(String name) {
        return view.figures(now).counts().getOrDefault(name, 0L);
    }

    @Test
    void pagesArePinnedToTheFirstOnesRevisionAndTheWatchGoesOnFromTheNext() {
        take(view.start(now, null));
        assertEquals(0, ((Order.Read) orders.get(0)).revision());
        on(new Event.Page(call(), at(40), List.of(item("a", 1, 5, 5)), true));
        Order.Read second = (Order.Read) orders.get(1);
        assertEquals(40, second.revision());
        assertEquals("reg/postgresql/hosts/a\0", second.from());
        on(new Event.Page(call(), at(44), List.of(item("b", 2, 6, 6)), false));
        assertEquals(41, ((Order.Watch) orders.get(1)).revision());
        assertEquals("a=1 b=2", shown());
    }

    /** Guards against a bound below fleets to come, with the usual limits: a thousand hosts come by pages and are all told. */
    @Test
    void aThousandHostsAreTakenInAndSoIsTheDrainOfTheLast() {
        view = new WatchView(NAMES, Limits.USUAL, Times.USUAL, 3, 1);
        take(view.start(now, null));
        for (int page = 0; page < 3; page++) {
            List<Item> items = IntStream.range(500 * page, Math.min(1_024, 500 * (page + 1)))
                    .mapToObj(i -> item(String.format("h%04d", i), 1, 5, 5))
                    .toList();
            on(new Event.Page(call(), at(40), items, page < 2));
        }
        assertEquals(
                1_024,
                told.stream()
                        .filter(t -> t instanceof ViewUpdate.Endpoints)
                        .mapToInt(
                                t -> ((ViewUpdate.Endpoints) t).list().entries().size())
                        .sum());
        told.clear();
        long watch = call();
        on(new Event.Watching(watch, at(40)));
        on(new Event.Batch(watch, at(41), List.of(deleted("h1023", 41)), false));
        assertEquals("h1023-", shown());
    }

    @Test
    void aCompactedRevisionIsReadAnewAndWhatVanishedIsDeleted() {
        long watch = live(10, item("a", 1, 5, 5), item("b", 2, 6, 6));
        on(new Event.Compacted(watch));
        assertInstanceOf(Order.Read.class, orders.get(orders.size() - 1));
        assertEquals("", shown(), "the old view stands until the new one is whole");
        on(new Event.Page(call(), at(90), List.of(item("b", 3, 6, 70), item("c", 4, 80, 80)), false));
        assertEquals("a- b=3 c=4", shown());
    }

    @Test
    void aHostPutAgainBetweenTwoLooksIsDeletedFirst() {
        long watch = live(10, item("a", 1, 5, 5));
        on(new Event.Compacted(watch));
        on(new Event.Page(call(), at(90), List.of(item("a", 1, 80, 80)), false));
        assertEquals("a- a=1", shown());
        told.clear();
        on(new Event.Watching(call(), at(90)));
        watch = ((Order.AskProgress) orders.get(0)).call();
        on(new Event.Batch(watch, at(92), List.of(deleted("a", 91), put(item("a", 1, 92, 92))), false));
        assertEquals("a- a=1", shown());
        assertEquals(2, told.size(), "no list names a host twice");
    }

    @Test
    void anEndpointThatLagsIsLeftAndNothingGoesBack() {
        long watch = live(50, item("a", 1, 5, 5));
        on(new Event.Ended(watch, Event.Reason.BROKEN, "cut"));
        Order.Watch again = (Order.Watch) next();
        on(new Event.Watching(again.call(), at(48)));
        assertInstanceOf(Order.Check.class, orders.get(orders.size() - 1));
        on(new Event.Checked(call(), at(51)));
        assertEquals(1, count("breaks_lags"));
        assertNotEquals(again.endpoint(), ((Order.Watch) next()).endpoint());
        assertEquals(50, view.figures(now).revision());
        assertEquals("", shown());
    }

    @Test
    void aWatchWhoseMemberFallsBehindIsLeft() {
        live(50, item("a", 1, 5, 5));
        Order.AskProgress ask = (Order.AskProgress) next();
        on(new Event.Reached(ask.call(), at(53)));
        on(new Event.Progress(ask.call(), at(50)));
        assertInstanceOf(Order.Watch.class, next());
        assertEquals(1, count("breaks_lags"));
        assertTrue(view.figures(now).age() >= Times.USUAL.patience(), "its words were no sign that nothing is missing");
    }

    @Test
    void aRestoredRegistryIsReadAnewByRevisionTermOrClusterId() {
        Header[] restored = {new Header(7, 30, 3), new Header(7, 70, 2)};
        for (Header header : restored) {
            view = new WatchView(NAMES, SMALL, Times.USUAL, 3, 1);
            on(new Event.Ended(live(50, item("a", 1, 5, 5)), Event.Reason.BROKEN, "restarted"));
            on(new Event.Watching(((Order.Watch) next()).call(), header));
            on(new Event.Checked(call(), header));
            assertEquals("", shown());
            on(new Event.Page(call(), header, List.of(item("b", 2, 5, 5)), false));
            assertEquals("a- b=2", shown());
            assertEquals(1, count("set_back"));
            told.clear();
        }
        // The same host under other revisions of another registry is not a new life of it.
        on(new Event.Ended(call(), Event.Reason.BROKEN, "replaced"));
        Header other = new Header(8, 9, 1);
        on(new Event.Watching(((Order.Watch) next()).call(), other));
        assertEquals(1, count("breaks_foreign"), "one endpoint alone may be wrong");
        on(new Event.Watching(((Order.Watch) next()).call(), other));
        on(new Event.Page(call(), other, List.of(item("b", 2, 3, 3)), false));
        assertEquals("", shown());
        assertEquals(8, view.figures(now).cluster());
        assertEquals(1, count("replaced"));
    }

    @Test
    void fragmentsTakeEffectTogetherOrNotAtAll() {
        long watch = live(10, item("a", 1, 5, 5));
        on(new Event.Batch(watch, at(11), List.of(deleted("a", 11)), true));
        on(new Event.Progress(watch, at(11)));
        assertEquals("", shown());
        on(new Event.Ended(watch, Event.Reason.BROKEN, "in the middle"));
        Order.Watch again = (Order.Watch) next();
        assertEquals(11, again.revision());
        on(new Event.Watching(again.call(), at(11)));
        on(new Event.Batch(again.call(), at(11), List.of(deleted("a", 11)), true));
        on(new Event.Batch(again.call(), at(11), List.of(put(item("b", 2, 11, 11))), false));
        assertEquals("a- b=2", shown());
        long now = again.call();
        for (int i = 0; i < 40; i++) {
            on(new Event.Batch(now, at(12), List.of(put(item("b", 2, 11, 12))), true));
        }
        assertEquals(1, count("transactions_given_up"), "what is held is bounded");
    }

    @Test
    void silenceIsAskedAboutAndTheDeadIsLeftWithinItsTime() {
        live(10, item("a", 1, 5, 5));
        long quietSince = now;
        Order.AskProgress ask = (Order.AskProgress) next();
        on(new Event.Reached(ask.call(), at(10)));
        on(new Event.Progress(ask.call(), at(10)));
        assertEquals(0, count("breaks"), "nothing new is not dead");
        assertInstanceOf(Order.AskProgress.class, next());
        assertInstanceOf(Order.Watch.class, next());
        assertEquals(1, count("breaks_silent"));
        assertTrue(now - quietSince < 1_500_000, "took " + (now - quietSince));
    }

    @Test
    void aValueThatCannotBeReadKeepsTheLastAndDoesNotFloodTheLog() {
        long watch = live(10, item("a", 1, 5, 5));
        on(new Event.Batch(watch, at(11), List.of(put(raw("reg/postgresql/hosts/a", "{\"uid\":", 5, 11))), false));
        on(new Event.Batch(watch, at(12), List.of(put(item("b", 2, 12, 12))), false));
        assertEquals("b=2", shown());
        assertEquals(2, view.figures(now).hosts());
        told.clear();
        for (int i = 0; i < 10_000; i++) {
            now += 50;
            on(new Event.Batch(
                    watch, at(13 + i), List.of(put(raw("reg/postgresql/hosts/a", "bad" + i, 5, 13 + i))), false));
            take(view.tick(now));
        }
        assertEquals(10_001, count("unreadable"));
        long lines = told.stream().filter(t -> t instanceof ViewUpdate.LogLine).count();
        assertTrue(lines > 1 && lines <= 8, lines + " lines in half a second");
        on(new Event.Batch(watch, at(20_000), List.of(put(item("a", 9, 5, 20_000))), false));
        assertTrue(shown().endsWith("a=9"), shown());
    }

    @Test
    void keysValuesAndHostsBeyondTheirBoundsAreLeftOutAndCounted() {
        long watch = live(10, item("a", 1, 5, 5));
        String longName = "x".repeat(60);
        on(new Event.Batch(
                watch,
                at(13),
                List.of(
                        put(item(longName, 1, 11, 11)),
                        put(raw("reg/postgresql/hosts/b", ScheduleTest.host("b", 1) + " ".repeat(200), 12, 12)),
                        put(raw("reg/settings", " ".repeat(301), 13, 13)),
                        put(raw("reg/postgresql/hosts/wrong", ScheduleTest.host("other", 1), 13, 13))),
                false));
        assertEquals(4, count("unreadable"));
        assertEquals("", shown());
        List<Change> many = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            many.add(put(item("h" + i, i, 20, 20)));
        }
        on(new Event.Batch(watch, at(20), many, false));
        // Those that never were valid hold their places too: they are known.
        assertEquals(8, count("overflown"));
    }

    @Test
    void settingsAreToldWhenTheyChangeAndStayWhenTheyAreDeleted() {
        long watch = live(10);
        on(new Event.Batch(watch, at(11), List.of(put(raw("reg/settings", "{\"x\":1}", 11, 11))), false));
        on(new Event.Batch(watch, at(12), List.of(put(raw("reg/settings", "{\"x\":1}", 11, 12))), false));
        on(new Event.Batch(watch, at(13), List.of(new Change(true, raw("reg/settings", "", 0, 13))), false));
        assertEquals(
                1, told.stream().filter(t -> t instanceof ViewUpdate.Settings).count());
        assertEquals(11, ((ViewUpdate.Settings) told.get(0)).revision());
    }

    @Test
    void theLastRunsViewServesAtOnceWithItsAgeAndIsContinuedWithoutReading() {
        Snapshot kept = new Snapshot("reg/", 7, 50, 3, now - 90_000_000, List.of(item("a", 1, 5, 5)));
        take(view.start(now, kept));
        assertTrue(((ViewUpdate.Endpoints) told.get(0)).old());
        assertEquals("a=1", shown());
        assertEquals(90_000_000, view.figures(now).age());
        assertEquals(51, ((Order.Watch) orders.get(0)).revision());
        told.clear();
        long watch = call();
        on(new Event.Watching(watch, at(60)));
        on(new Event.Batch(watch, at(60), List.of(deleted("a", 55), put(item("b", 2, 56, 56))), false));
        assertEquals("", shown(), "not told by halves while it catches up");
        on(new Event.Reached(watch, at(60)));
        on(new Event.Progress(watch, at(60)));
        assertEquals("b=2", shown());
        assertFalse(((ViewUpdate.Endpoints) told.get(0)).old());
        assertEquals(0, view.figures(now).age());
    }

    /** 48 proxies lose the majority at once: the calls back off to a cap, and never bunch up. */
    @Test
    void proxiesThatLoseTheMajorityTogetherDoNotComeBackInStep() {
        TreeMap<Long, Integer> calls = new TreeMap<>();
        for (int seed = 0; seed < 48; seed++) {
            RegistryView one = new WatchView(NAMES, SMALL, Times.USUAL, 3, seed);
            long t = 0;
            Step step = one.start(t, null);
            int made = 0;
            for (; t < 20_000_000; t = Math.max(t + 1, one.wakeAt())) {
                step = step.orders().isEmpty() ? one.tick(t) : step;
                for (Order order : step.orders()) {
                    if (order instanceof Order.Read r) {
                        made++;
                        if (t > 0) {
                            calls.merge(t / 20_000, 1, Integer::sum);
                        }
                        one.on(t, new Event.Ended(r.call(), Event.Reason.NO_LEADER, "no leader"));
                    }
                }
                step = new Step(List.of(), List.of());
            }
            assertTrue(made > 40 && made < 90, made + " calls in 20 s");
            assertNull(one.snapshot());
        }
        int peak = calls.values().stream().max(Integer::compare).orElse(0);
        assertTrue(peak <= 15, peak + " of 48 within 20 ms");
    }

    @Test
    void aPolledIndexThatGoesBackIsConfirmedBeforeItCounts() {
        view = new PollView(NAMES, SMALL, Times.USUAL, 3, 1);
        take(view.start(now, null));
        on(new Event.Whole(call(), 50, List.of(item("a", 1, 5, 5)), true));
        assertEquals(50, ((Order.Poll) orders.get(orders.size() - 1)).index());
        on(new Event.Whole(call(), 45, List.of(), false));
        assertEquals(1, count("breaks_lags"), "a member that nobody leads");
        next();
        on(new Event.Whole(call(), 40, List.of(item("b", 1, 5, 5)), true));
        Order.Poll confirm = (Order.Poll) orders.get(orders.size() - 1);
        assertTrue(confirm.sure() && confirm.index() == 0);
        told.clear();
        on(new Event.Whole(confirm.call(), 40, List.of(item("b", 1, 5, 5)), true));
        assertEquals("a- b=1", shown());
        on(new Event.Whole(call(), 0, List.of(), true));
        assertEquals(
                1, count("breaks_malformed"), "an index below 1 would make the next read return at once, for ever");
    }

    @Test
    void changesOutOfOrderAndRepeatedOnesDoNotGoBack() {
        long watch = live(10, item("a", 1, 5, 5));
        on(new Event.Batch(watch, at(12), List.of(put(item("a", 2, 5, 12))), false));
        on(new Event.Batch(watch, at(12), List.of(put(item("a", 0, 5, 11))), false));
        assertEquals("a=2", shown());
        assertEquals(1, count("repeated"));
        on(new Event.Batch(watch, at(20), Arrays.asList(put(item("a", 3, 5, 20)), put(item("a", 4, 5, 19))), false));
        assertEquals(1, count("breaks_malformed"));
        assertEquals(12, view.figures(now).revision());
    }
}
