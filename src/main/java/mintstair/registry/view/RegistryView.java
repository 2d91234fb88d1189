package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import mintstair.retry.Backoff;

/**
 * The part of following a registry that does not depend on how it tells of changes: the entries, one call at a time with its
 * time limit, breaks, attempts and the endpoint to turn to, the age of what is known. Fed with events and the time by one
 * thread; time never goes back here, whatever the caller's clock does.
 */
public abstract class RegistryView {
    /** Nothing is going on; the next attempt comes at its time. */
    private static final long NONE = 0;

    protected final Names names;
    protected final Limits limits;
    protected final Times times;
    protected final HostTable table;
    protected final Endpoints endpoints;
    private final Random random;
    private final int endpointCount;
    private final Backoff backoff;
    /** Attempts that failed since all was well. */
    private int tried;

    private int answers;
    private final FaultLines breakLines = new FaultLines();
    private final Map<String, Long> counts = new TreeMap<>();
    private List<Order> orders = new ArrayList<>();
    private List<ViewUpdate> told = new ArrayList<>();

    protected long now;
    /** The history that the entries belong to: its id, the newest revision that nothing is missing up to, its highest term. */
    protected long cluster;

    protected long revision = -1;
    protected long term;
    /** The hosts have been told as the registry's own word; before that, at most as what was known at the last run. */
    private boolean live;

    private long heard = -1;
    private long calls;
    private long call = NONE;
    private long giveUpAt = Long.MAX_VALUE;
    private long attemptAt = Long.MAX_VALUE;
    private long brokenAt = -1;
    private String brokenWhy = "";

    protected RegistryView(Names names, Limits limits, Times times, int endpointCount, long seed) {
        this.names = names;
        this.limits = limits;
        this.times = times;
        this.endpointCount = endpointCount;
        random = new Random(seed);
        table = new HostTable(names, limits);
        endpoints = new Endpoints(endpointCount, random);
        backoff = new Backoff(random, times.retry(), times.retryMost(), 0.05);
    }

    /** Begins with what the last run knew, if there is something; then the first attempt is made. */
    public final Step start(long at, Snapshot snapshot) {
        now = at;
        if (snapshot != null) {
            cluster = snapshot.cluster();
            revision = snapshot.revision();
            term = snapshot.term();
            heard = Math.min(snapshot.heard(), at);
            table.replace(snapshot.items(), revision, true, now, this::tellAllButHosts);
            table.tellWhole(revision, true, told::add);
        }
        attempt();
        return taken();
    }

    /** An event of the wire. */
    public final Step on(long at, Event event) {
        now = Math.max(now, at);
        if (event.call() == call && call != NONE) {
            if (event instanceof Event.Ended e) {
                // It is over already: there is nothing to cancel.
                call = NONE;
                lost(e.reason(), e.why());
            } else {
                handle(event);
            }
        }
        return taken();
    }

    /** Lets time pass; to be called at {@link #wakeAt} at the latest. */
    public final Step tick(long at) {
        now = Math.max(now, at);
        table.flush(now, told::add);
        breakLines.flush(now, told::add);
        if (call != NONE && now >= giveUpAt) {
            quiet();
        }
        if (call == NONE && now >= attemptAt) {
            attempt();
        }
        return taken();
    }

    /** When {@link #tick} has something to do next. */
    public final long wakeAt() {
        return Math.min(call == NONE ? attemptAt : giveUpAt, Math.min(table.wakeAt(), breakLines.wakeAt()));
    }

    /** What is known, as it is kept over a restart; null before anything is. */
    public final Snapshot snapshot() {
        return revision < 0 ? null : new Snapshot(names.prefix(), cluster, revision, term, heard, table.items());
    }

    /** Where the view stands, for people. */
    public final ViewMetrics figures(long at) {
        return new ViewMetrics(
                cluster,
                revision,
                heard < 0 ? -1 : Math.max(0, at - heard),
                live,
                table.hosts,
                table.digest,
                endpoints.current(),
                brokenAt,
                brokenWhy,
                countsNow());
    }

    /** All hosts of all fronts, told as a whole: for one that missed what was told before. */
    public final List<ViewUpdate> everything() {
        List<ViewUpdate> all = new ArrayList<>();
        table.tellWhole(revision, !live, all::add);
        return all;
    }

    private Map<String, Long> countsNow() {
        Map<String, Long> all = new TreeMap<>(counts);
        all.put("unreadable", table.unreadable);
        all.put("overflown", table.overflown);
        return all;
    }

    /** Makes the next attempt at the current endpoint. */
    protected abstract void connect();

    /** Takes in an event of the wanted call. */
    protected abstract void handle(Event event);

    /** The time that was set for the wanted call is over; by default it is dead. */
    protected void quiet() {
        breakOff(Event.Reason.SILENT, "nothing heard");
    }

    /** The wanted call is gone: forget what was only half there. */
    protected abstract void dropped(Event.Reason reason);

    private void attempt() {
        attemptAt = Long.MAX_VALUE;
        connect();
    }

    /** A new call, the only one wanted from here on, which must be heard of within this time. */
    protected final long call(long within) {
        cancel();
        call = ++calls;
        giveUpAt = now + within;
        return call;
    }

    protected final long call() {
        return call;
    }

    protected final void order(Order order) {
        orders.add(order);
    }

    /** The wanted call has until then to be heard of. */
    protected final void waitUntil(long at) {
        giveUpAt = at;
    }

    private void cancel() {
        if (call != NONE) {
            order(new Order.Cancel(call));
            call = NONE;
        }
    }

    /** The wanted call is of no further use. */
    protected final void breakOff(Event.Reason reason, String why) {
        cancel();
        lost(reason, why);
    }

    /**
     * Turns to the next endpoint after a wait: many that lost their endpoint together must not all come to the next together.
     * Where the fault is one endpoint's own, the others are tried within a short time each; the wait grows with each whole round.
     */
    private void lost(Event.Reason reason, String why) {
        String name = reason.name().toLowerCase(Locale.ROOT);
        count("breaks");
        count("breaks_" + name);
        brokenAt = now;
        brokenWhy = name.replace('_', ' ') + ": " + why;
        breakLines.note(now, "registry: endpoint " + endpoints.current() + " " + brokenWhy, told::add);
        dropped(reason);
        if (reason == Event.Reason.LAGS) {
            endpoints.lags(now + times.lagRest());
        }
        endpoints.turn(now);
        boolean answered = reason == Event.Reason.LAGS || reason == Event.Reason.FOREIGN;
        boolean own = answered || reason == Event.Reason.BROKEN || reason == Event.Reason.SILENT;
        if (answered && answers++ < endpointCount) {
            // The network is back: a new round begins, but not again and again.
            tried = 0;
        }
        tried++;
        attemptAt = now
                + (own && tried % endpointCount != 0 ? (long) (random.nextDouble() * times.retry()) : backoff.next());
    }

    /** All is well: the next break is a first one. */
    protected final void well() {
        backoff.reset();
        tried = 0;
        answers = 0;
    }

    /**
     * Whether the answering member belongs to the registry that is followed, or to one that most endpoints have gone over to:
     * then its history is taken in place of the old one's. Else this endpoint is left.
     */
    protected final boolean belongs(Header header) {
        endpoints.answeredAs(header.cluster());
        if (header.cluster() == cluster || revision < 0) {
            return true;
        }
        if (endpoints.mostAre(header.cluster())) {
            return true;
        }
        breakOff(
                Event.Reason.FOREIGN,
                "cluster id " + Long.toUnsignedString(header.cluster(), 16) + " in place of "
                        + Long.toUnsignedString(cluster, 16));
        return false;
    }

    /** The registry has shown that nothing is missing up to {@link #revision}, which is where it stands. */
    protected final void fresh() {
        heard = now;
        if (!live) {
            live = true;
            table.tellWhole(revision, false, told::add);
        }
    }

    /** Tells what follows from a change of the entries; hosts only once they have been told as a whole. */
    protected final Consumer<ViewUpdate> teller() {
        return live ? told::add : this::tellAllButHosts;
    }

    private void tellAllButHosts(ViewUpdate what) {
        if (!(what instanceof ViewUpdate.Endpoints)) {
            told.add(what);
        }
    }

    protected final void say(String line) {
        told.add(new ViewUpdate.LogLine("registry: " + line));
    }

    protected final void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    private Step taken() {
        Step step = new Step(orders, told);
        orders = new ArrayList<>();
        told = new ArrayList<>();
        return step;
    }
}
