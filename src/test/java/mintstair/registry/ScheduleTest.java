package mintstair.registry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import mintstair.registry.view.Change;
import mintstair.registry.view.Event;
import mintstair.registry.view.Header;
import mintstair.registry.view.Item;
import mintstair.registry.view.Limits;
import mintstair.registry.view.Names;
import mintstair.registry.view.Order;
import mintstair.registry.view.PollView;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Step;
import mintstair.registry.view.Times;
import mintstair.registry.view.ViewUpdate;
import mintstair.registry.view.WatchView;
import mintstair.request.EndpointList;
import mintstair.standin.RegistryModel;
import org.junit.jupiter.api.Test;

/**
 * Random schedules over the views alone, in virtual time, against a model of the registry. In plain words: what was told is at
 * every step exactly what one revision of the registry held, never half a transaction; no change is told twice and none is
 * missed; nothing ever goes back but with the registry itself; at most one call is open; within 2 s of virtual time after the
 * troubles end the view matches, though one endpoint stays silent and one keeps lagging.
 */
class ScheduleTest {
    private static final String FRONT = "postgresql";
    private static final String PREFIX = "reg/";
    private static final int SEEDS = 120;
    private static final int STEPS = 1_000;

    @Test
    void watchedViewMatchesAfterEveryScheduleOfChangesAndBreaks() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new World(seed, true).play();
        }
    }

    @Test
    void polledViewMatchesAfterEveryScheduleOfChangesAndBreaks() {
        for (int seed = 0; seed < SEEDS / 2; seed++) {
            new World(seed, false).play();
        }
    }

    /** The registry, its three members, the network and one view, moved on by dice. */
    private static final class World {
        private final int seed;
        private final boolean watched;
        private final Random dice;
        private final RegistryModel model = new RegistryModel();
        private final RegistryView view;
        private final Map<String, EndpointList.Entry> mirror = new HashMap<>();
        /** Per member: how far it has come, or -1 where it is up to date; and whether it says nothing at all. */
        private final long[] lag = {-1, -1, -1};

        private final boolean[] silent = new boolean[3];
        private final List<RegistryModel> before = new ArrayList<>();
        private long now = 1_000_000_000;
        private boolean told;
        private Order open;
        private long sentUpTo;
        private boolean created;
        private List<Change> rest = List.of();
        private long progressAsked;
        private boolean majorityTold;
        private final List<Event> heard = new ArrayList<>();

        World(int seed, boolean watched) {
            this.seed = seed;
            this.watched = watched;
            dice = new Random(seed);
            Names names = new Names(PREFIX, List.of(FRONT));
            view = watched
                    ? new WatchView(names, Limits.USUAL, Times.USUAL, 3, seed)
                    : new PollView(names, Limits.USUAL, Times.USUAL, 3, seed);
        }

        void play() {
            for (int i = 0; i < 5; i++) {
                change();
            }
            take(view.start(now, null));
            for (int step = 0; step < STEPS; step++) {
                if (dice.nextInt(250) == 0) {
                    settle();
                } else {
                    move();
                }
            }
            settle();
        }

        private void move() {
            switch (dice.nextInt(24)) {
                case 0, 1, 2, 3, 4 -> change();
                case 5 -> model.compact(model.revision - dice.nextInt(4));
                case 6 -> end(Event.Reason.values()[dice.nextInt(2) * 2]);
                case 7 ->
                    lag[dice.nextInt(3)] = dice.nextBoolean() ? -1 : Math.max(1, model.revision - dice.nextInt(5));
                case 8 -> silent[dice.nextInt(3)] = dice.nextInt(3) == 0;
                case 9 -> {
                    if (dice.nextInt(12) == 0) {
                        restore();
                    }
                }
                case 10, 11, 12 -> pass(dice.nextInt(300_000));
                case 13 -> {
                    if (!heard.isEmpty()) {
                        late();
                    }
                }
                default -> deliver();
            }
        }

        private void change() {
            Map<String, String> values = new TreeMap<>();
            for (int n = 1 + dice.nextInt(3) * dice.nextInt(2); n > 0; n--) {
                String uid = "h" + dice.nextInt(8);
                values.put(
                        PREFIX + FRONT + "/hosts/" + uid,
                        switch (dice.nextInt(8)) {
                            case 0, 1, 2 -> null;
                            case 3 -> "no host at all " + dice.nextInt();
                            default -> host(uid, dice.nextInt(10_000));
                        });
            }
            model.change(values);
        }

        private void restore() {
            before.add(model.copy());
            model.restore(
                    Math.max(1, model.revision - dice.nextInt(6)),
                    dice.nextBoolean() ? model.cluster : model.cluster + 1);
            for (int m = 0; m < 3; m++) {
                lag[m] = -1;
            }
            end(Event.Reason.BROKEN);
        }

        private void end(Event.Reason reason) {
            if (open != null) {
                Order over = open;
                open = null;
                hear(new Event.Ended(number(over), reason, "by the dice"));
            }
        }

        private void pass(long micros) {
            long until = now + micros;
            while (view.wakeAt() <= until) {
                now = Math.max(now, view.wakeAt());
                take(view.tick(now));
            }
            now = until;
        }

        private long reached(int member) {
            return lag[member] < 0 ? model.revision : Math.min(lag[member], model.revision);
        }

        /** The open call gets on by one message, if its member says anything. */
        private void deliver() {
            if (open instanceof Order.Read r && !silent[r.endpoint()]) {
                long at = r.revision() == 0 ? model.revision : r.revision();
                open = null;
                if (at <= model.compacted && at < model.revision && r.revision() > 0) {
                    hear(new Event.Compacted(r.call()));
                } else if (at > model.revision) {
                    hear(new Event.Ended(r.call(), Event.Reason.LAGS, "a future revision"));
                } else {
                    List<Item> all =
                            new ArrayList<>(model.at(at).tailMap(r.from()).values());
                    int size = Math.min(all.size(), 1 + dice.nextInt(3));
                    hear(new Event.Page(r.call(), header(model.revision), all.subList(0, size), size < all.size()));
                }
            } else if (open instanceof Order.Check c && !silent[c.endpoint()]) {
                open = null;
                hear(new Event.Checked(c.call(), header(model.revision)));
            } else if (open instanceof Order.Watch w && !silent[w.endpoint()]) {
                watch(w);
            } else if (open instanceof Order.Poll p && !silent[p.endpoint()]) {
                poll(p);
            }
        }

        private Header header(long revision) {
            return new Header(model.cluster, revision, model.term);
        }

        private void watch(Order.Watch w) {
            long reached = reached(w.endpoint());
            if (!created) {
                created = true;
                sentUpTo = w.revision() - 1;
                if (w.revision() <= model.compacted && w.revision() <= reached) {
                    open = null;
                    hear(new Event.Compacted(w.call()));
                } else {
                    hear(new Event.Watching(w.call(), header(reached)));
                }
            } else if (!rest.isEmpty()) {
                List<Change> part = rest.subList(0, 1);
                rest = rest.subList(1, rest.size());
                hear(new Event.Batch(w.call(), header(reached), part, !rest.isEmpty()));
            } else if (sentUpTo < reached) {
                List<Change> changes = new ArrayList<>();
                // Whole revisions, one or several, and now and then one that was sent before.
                long from = sentUpTo > w.revision() && dice.nextInt(6) == 0 ? sentUpTo : sentUpTo + 1;
                sentUpTo = Math.min(reached, sentUpTo + 1 + dice.nextInt(2));
                for (long r = from; r <= sentUpTo; r++) {
                    changes.addAll(model.changes(r));
                }
                if (changes.size() > 1 && dice.nextBoolean()) {
                    rest = changes.subList(1, changes.size());
                    hear(new Event.Batch(w.call(), header(reached), changes.subList(0, 1), true));
                } else {
                    hear(new Event.Batch(w.call(), header(reached), changes, false));
                }
            } else if (progressAsked == w.call() && !majorityTold) {
                majorityTold = true;
                hear(new Event.Reached(w.call(), header(model.revision)));
            } else if (progressAsked == w.call()) {
                progressAsked = 0;
                hear(new Event.Progress(w.call(), header(reached)));
            }
        }

        private void poll(Order.Poll p) {
            long reached = p.sure() ? model.revision : reached(p.endpoint());
            if (p.index() == 0 || reached != p.index()) {
                open = null;
                hear(new Event.Whole(
                        p.call(), reached, List.copyOf(model.at(reached).values()), p.sure() || lag[p.endpoint()] < 0));
            } else if (progressAsked == p.call()) {
                progressAsked = 0;
                if (lag[p.endpoint()] < 0) {
                    hear(new Event.Progress(p.call(), new Header(0, 0, 0)));
                } else {
                    end(Event.Reason.NO_LEADER);
                }
            }
        }

        private static long number(Order order) {
            return order instanceof Order.Read r
                    ? r.call()
                    : order instanceof Order.Watch w
                            ? w.call()
                            : order instanceof Order.Check c ? c.call() : order instanceof Order.Poll p ? p.call() : -1;
        }

        private void hear(Event event) {
            heard.add(event);
            take(view.on(now, event));
        }

        /** Something of a call that is over comes late. */
        private void late() {
            Event event = heard.get(dice.nextInt(heard.size()));
            if (open == null || event.call() != number(open)) {
                take(view.on(now, event));
            }
            heard.subList(0, Math.max(0, heard.size() - 20)).clear();
        }

        private void take(Step step) {
            for (Order order : step.orders()) {
                if (order instanceof Order.Cancel c) {
                    if (open != null && number(open) == c.call()) {
                        open = null;
                    }
                } else if (order instanceof Order.AskProgress ask) {
                    progressAsked = ask.call();
                    majorityTold = false;
                } else {
                    assertNull(open, "two calls at once, seed " + seed);
                    open = order;
                    created = false;
                    rest = List.of();
                }
            }
            step.told().forEach(this::told);
            if (told) {
                mirrorsOneRevision();
            }
        }

        private void told(ViewUpdate what) {
            if (!(what instanceof ViewUpdate.Endpoints hosts)) {
                return;
            }
            if (hosts.list().whole()) {
                mirror.clear();
                told = true;
            }
            for (EndpointList.Entry e : hosts.list().entries()) {
                if (e.state() == EndpointList.State.REMOVED) {
                    assertNotNull(
                            mirror.remove(e.host()), "deleted twice or never there: " + e.host() + ", seed " + seed);
                } else {
                    assertTrue(!e.equals(mirror.put(e.host(), e)), "told twice: " + e + ", seed " + seed);
                }
            }
        }

        private void mirrorsOneRevision() {
            long at = view.figures(now).revision();
            boolean isOne = at <= model.revision && matches(model.at(at));
            for (int i = 0; i < before.size() && !isOne; i++) {
                // What was read before a restore stands until it is noticed.
                isOne = at <= before.get(i).revision && matches(before.get(i).at(at));
            }
            assertTrue(
                    isOne,
                    () -> "told is what no revision held: " + shown() + " at " + at + ", registry "
                            + words(model.at(Math.min(at, model.revision))) + ", seed " + seed);
        }

        private String shown() {
            Map<String, Long> words = new TreeMap<>();
            mirror.forEach((uid, e) -> words.put(uid, e.started() / 1000));
            return words.toString();
        }

        private static String words(Map<String, Item> held) {
            Map<String, String> words = new TreeMap<>();
            held.forEach((key, item) -> words.put(
                    key.substring(key.lastIndexOf('/') + 1),
                    new String(item.value(), UTF_8).replaceAll(".*boot_ms", "")));
            return words.toString();
        }

        private boolean matches(Map<String, Item> held) {
            Map<String, Item> hosts = new HashMap<>();
            held.forEach((key, item) -> hosts.put(key.substring(key.lastIndexOf('/') + 1), item));
            if (!hosts.keySet().containsAll(mirror.keySet())) {
                return false;
            }
            for (Map.Entry<String, Item> each : hosts.entrySet()) {
                String value = new String(each.getValue().value());
                EndpointList.Entry shown = mirror.get(each.getKey());
                if (value.startsWith("{")
                        && (shown == null || !value.contains(":" + Math.round(shown.started() / 1000.0) + "}"))) {
                    return false;
                }
            }
            return true;
        }

        /** The troubles end, but for one member that stays silent and one that keeps lagging. */
        private void settle() {
            int well = dice.nextInt(3);
            for (int m = 0; m < 3; m++) {
                silent[m] = m == (well + 1) % 3 && dice.nextBoolean();
                lag[m] = m == (well + 2) % 3 && dice.nextBoolean() ? Math.max(1, model.revision - 2) : -1;
            }
            long end = now + 2_000_000;
            while (!isSettled() && now < end) {
                for (int i = 0; i < 8; i++) {
                    deliver();
                }
                pass(10_000);
            }
            assertTrue(
                    isSettled(),
                    () -> "not matching in time: " + shown() + " at " + view.figures(now) + ", registry at "
                            + model.revision + ": " + words(model.now()) + ", open " + open + ", seed " + seed);
            assertEquals(hostsOf(model.now()), (long) view.figures(now).hosts() + badOf(model.now()), "seed " + seed);
            before.clear();
        }

        private boolean isSettled() {
            return told
                    && view.figures(now).revision() == model.revision
                    && view.figures(now).cluster() == (watched ? model.cluster : 0)
                    && matches(model.now());
        }

        private static long hostsOf(Map<String, Item> held) {
            return held.size();
        }

        /** Hosts that are there, but whose entry was never seen valid in this life. */
        private long badOf(Map<String, Item> held) {
            return held.entrySet().stream()
                    .filter(e ->
                            !mirror.containsKey(e.getKey().substring(e.getKey().lastIndexOf('/') + 1)))
                    .count();
        }
    }

    static String host(String uid, int version) {
        return "{\"uid\":\"" + uid
                + "\",\"endpoint\":\"127.0.0.1:5432\",\"az\":\"a\",\"pod_group\":1,\"state\":\"SERVING\",\"boot_ms\":"
                + version + "}";
    }
}
