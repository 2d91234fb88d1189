package mintstair.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import mintstair.decision.RouterState.Group;
import mintstair.decision.RouterState.Host;
import mintstair.decision.RouterState.Kind;
import mintstair.decision.RouterState.Open;
import mintstair.decision.RouterState.Share;
import mintstair.decision.SplitterApi.Ending;
import mintstair.decision.SplitterApi.Fleet;
import mintstair.decision.SplitterApi.Freshness;
import mintstair.decision.SplitterApi.HostEntry;
import mintstair.decision.SplitterApi.HostState;
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
import mintstair.decision.SplitterApi.Tenant;

/**
 * All decisions of one router; its types, events and actions are in SplitterApi, its state in RouterState.
 * The ordinary path: a session's last write is its token; a read goes to a random replica whose known
 * position has reached the token (or now minus the bound), else to the primary. Each departure below
 * says what it guards against; docs/design.md says under which condition it acts.
 * A router may be one of hundreds with a trickle of traffic each: what acts on hardly any evidence acts with
 * a probability in proportion to this router's own requests, so that the sum over routers comes out right.
 */
public final class ReadWriteSplitter implements SplitterApi.Router {
    // Times are in microseconds, shares and weights without unit.
    static final long TICK = 20_000; // what waits, is stuck or silent is looked at no oftener
    static final long STALL = 100_000; // a tick this late: this router stood still; its span is no evidence
    static final long POLL_EVERY = 100_000; // the design's, where neither bounds nor price ask for another
    static final long POLL_APART = 1_000; // times the routers: the span of first polls after a common start
    static final int POLLS_A_BOUND = 3; // polls within the tightest bound, by the design
    static final double POLL_BUDGET = 0.007; // points of the result (of 1) that timed polls may cost
    static final long RAREST_POLL = 1_000_000; // where the price makes them rarer, hosts are polled on demand
    static final double DEMAND_BUDGET = 0.03; // points that polls on demand may cost at most
    static final double DEMAND_MOST = 40, DEMAND_FIRST = 10; // polls saved up for demand, and at the start
    static final int DEMAND_AT_ONCE = 2, DEMAND_ROUNDS = 2; // polls for one read; rounds before the primary
    static final long DEMAND_WAIT = 30_000; // waited for a poll, many times a round trip; also between two
    static final long CONFIRM = 1_000_000; // a primary unheard of for longer is polled before a write
    static final long SEEK_EVERY = 100_000; // polls for a primary, or for positions, go out again after this
    static final int SEEK_FEW = 8; // times that: the longest of these waits where routers are fewer
    static final long WARY = 5_000_000; // after a sign of lost hosts those unheard for so long are asked
    static final long REPORT_AGE = 300_000; // of reports, until a primary's own have shown how old they come
    static final long LAG_KNOWN = 2_000_000; // a lag measured longer ago says nothing
    static final long MARGIN = 15_000; // kept free before a deadline so that an answer still counts
    static final long TOKEN_SLACK = 1_000; // rounding of a token's age on its way
    static final double READ_WAIT = 0.13, WRITE_WAIT = 0.8; // share of its aim that one waits for room
    static final double PRIMARY_READS = 0.6; // of the primary's room, for reads of little worth: writes stay
    static final double POOLED_HEARD = 0.2; // of what swift primaries say for one hardly asked
    static final double OVERDUE = 0.7; // share of its aim after which an answer still out counts
    static final double LEAST_WORTH_ROOM = 0.8, OVER_SHARE_ROOM = 0.6; // of a limit: low worth, over share
    static final double SHARE_SAVED = 5; // requests a tenant may save up at least: fewer are chance
    static final double SILENCE = 7; // answers missed in the mean for silence: by chance once in e^7 looks
    static final int SILENT_REQUESTS = 3; // that must be without an answer for it: one may just be long
    static final double TRIAL_WEIGHT = 0.03; // of a silent, failing or slow host
    static final double SLOW = 1.6; // time over peers past which a replica's weight sinks, with the square
    static final double CROWDED = 1.3; // a replica with over this many times its peers' mean sits out
    static final double COME_BACK = 0.3; // share of its aim after which a refused client is asked back
    static final double SPARE_RATE = 0.1, SPARE_RATE_SWIFT = 0.4; // further attempts a request; while swift
    static final double SPARE_MOST = 20, SPARE_FIRST = 2; // of them saved up, and at the start
    static final double STUCK = 4, STUCK_LOSSY = 1.5; // deviations over the mean; while answers get lost
    static final double LOSSY = 0.1; // share without answer, over what times explain: they are being lost
    static final double NEWEST = 0.1, NEWEST_OF_CLASS = 0.02; // weight of an answer in the mean of each
    static final double RATE_SPAN = 2_000_000; // the request rate is a mean over about this
    static final long LIST_RETRY = 500_000; // before asking for the list again, doubled up to sixteenfold
    static final long GONE_KEPT = 10_000_000; // what is known of a host that is gone, should it come back
    static final double UNSENT_HELD = 0.45; // share of its client's time for which an unsent request is held
    static final double BASE_SHARE = 0.5; // of what all routers share, whatever they know of each other
    static final long MISS_REST = 100_000; // a host that turned a request away rests this long
    static final long NO_POSITION = Long.MAX_VALUE / 4; // later than any position: no replica has it
    // A bounded read's bound counts from its send: one that waited longer for a connection is decided anew.
    static final long FRESH_FOR = 25_000; // less than the rules leave on sockets

    private Settings settings;
    private final SplitterApi.Actions actions;
    private final Random random;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Integer, Group> groups = new TreeMap<>();
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final SessionTokens tokens = new SessionTokens();
    private final PositionClock positions = new PositionClock();
    private Kind[] kinds = {};
    private Share[] shares;
    private final ConcurrencyLimit allPrimaries, allReplicas;
    private long tightestBound = Long.MAX_VALUE;
    private final EarnedBudget furtherAttempts = new EarnedBudget(SPARE_FIRST, SPARE_MOST);
    private final EarnedBudget demandedPolls = new EarnedBudget(DEMAND_FIRST, DEMAND_MOST);
    private double requestRate, lossy, fallen;
    private long rateAt, wakeAt = Long.MAX_VALUE, awakeSince, alarmAt = RouterState.NEVER, lastSeen;
    private long youngestReport = REPORT_AGE / 4;
    private int listFailures;
    private Fleet fleet;
    private double outThere, trustedThere, usualStretch, weights[] = new double[16];

    /** Starts a router that knows nothing yet; refuses settings that make no sense. */
    public ReadWriteSplitter(long now, long seed, Settings settings, SplitterApi.Actions actions) {
        this.actions = actions;
        random = new Random(seed);
        adopt(now, settings);
        allPrimaries = new ConcurrencyLimit(routers(), null, 1);
        allReplicas = new ConcurrencyLimit(routers(), null, 0);
        rateAt = awakeSince = now;
        if (settings.subscribe()) actions.subscribe();
    }

    @Override
    public void onSettings(long at, Settings changed) {
        long now = clock(at);
        adopt(now, changed);
        // What was concluded by the former settings is concluded anew by these.
        for (ConcurrencyLimit all : List.of(allPrimaries, allReplicas)) all.shareAmong(routers());
        for (Group g : groups.values()) g.eachReplica.shareAmong(routers());
        for (Host h : hosts.values()) {
            h.asPrimary.shareAmong(routers());
            long listed = h.listedStart > 0 ? now - positions.startedAgo(now, h.listedStart) : 0;
            long start = Math.max(h.slowStart.since(), listed);
            boolean cold = start > 0 && now - start < settings.guards().warmAfter();
            if (cold && !h.slowStart.isActive()) startCold(h, start);
            if (h.doubted) gone(now, h);
        }
        actions.log("settings changed: " + kinds.length + " classes");
    }

    @Override
    public void onFleet(long at, Fleet told) {
        clock(at);
        fleet = told;
    }

    /** One in so many is this router's part of what all share; those of all settled ones add up to one. */
    double routers() {
        if (fleet == null) return settings.routers();
        double rest = fleet.settled() ? (1 - BASE_SHARE) / fleet.counted() : 0;
        return 1 / (BASE_SHARE / Math.max(settings.routers(), fleet.largest()) + rest);
    }

    /** Takes these settings whole or not at all; what a class's answers have shown stays with its name. */
    private void adopt(long now, Settings all) {
        require(all.routers() > 0, "routers must be at least 1");
        require(all.limits().maxAttempts() > 0, "limits.maxAttempts must be at least 1");
        require(all.guards().coldShare() > 0, "guards.coldShare must be above 0");
        for (RequestClass of : all.classes()) require(of.aim() > 0, "classes.aim must be above 0");
        Kind[] before = kinds;
        settings = all;
        kinds = new Kind[settings.classes().size()];
        tightestBound = Long.MAX_VALUE;
        double best = 0;
        for (int i = 0; i < kinds.length; i++) {
            RequestClass of = settings.classes().get(i);
            Kind kind = kinds[i] = new Kind(of);
            kind.mean = kind.deviation = of.aim() / 5.0;
            for (Kind k : before) {
                if (!k.of.name().equals(of.name())) continue;
                // What answers have shown stays; the rest is what these settings make of it.
                kind.assumed = k.assumed;
                kind.mean = k.mean + k.assumed * (of.aim() - k.of.aim()) / 5.0;
                kind.deviation = Math.max(0, k.deviation + k.assumed * (of.aim() - k.of.aim()) / 5.0);
            }
            best = Math.max(best, of.worth() / of.aim());
            if (of.freshness() == Freshness.BOUNDED) tightestBound = Math.min(tightestBound, of.bound());
        }
        for (Kind kind : kinds) {
            kind.worth = best > 0 ? kind.of.worth() / kind.of.aim() / best : 1;
            boolean write = kind.of.freshness() == Freshness.WRITE;
            kind.room = write ? 1 : LEAST_WORTH_ROOM + (1 - LEAST_WORTH_ROOM) * kind.worth;
        }
        shares = new Share[settings.tenants().size()];
        Arrays.setAll(shares, i -> new Share(now, SHARE_SAVED));
    }

    /** A clock that goes back is taken to stand. */
    private long clock(long now) {
        return lastSeen = Math.max(lastSeen, now);
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) throw new IllegalArgumentException(otherwise);
    }

    // ---- the list ----

    @Override
    public void onList(long at, ListKind kind, List<HostEntry> entries) {
        long now = clock(at);
        if (kind == ListKind.FAILED) {
            // The list is out of reach: the old one stands, and routers must not ask again all at once.
            long wait = LIST_RETRY << Math.min(listFailures++, 4);
            actions.timer("subscribe", wait + (long) (random.nextDouble() * wait));
            if (listFailures == 1) actions.log("list out of reach; the old one stands");
            return;
        }
        if (kind != ListKind.OLD_COPY) listFailures = 0;
        if (kind != ListKind.CHANGES) {
            Set<String> named = new HashSet<>();
            for (HostEntry e : entries) named.add(e.host());
            for (Host h : hosts.values()) if (!named.contains(h.name)) gone(now, h);
        }
        for (HostEntry e : entries) listed(now, e);
        hosts.values().removeIf(h -> forgets(now, h));
        for (Group g : groups.values()) serveWaiting(now, g);
        wake(now, now + TICK);
    }

    /** A list may be wrong: where gone is only advice, such a host is used as long as it is heard from. */
    private void gone(long now, Host h) {
        if (!settings.guards().goneIsAdvice() || h.drains) {
            if (h.goneAt == 0) h.goneAt = now;
            h.ready = false;
        } else h.doubted = true;
    }

    /** Hosts come and go under new names all day long: one that stays away is not kept in mind. */
    private static boolean forgets(long now, Host h) {
        if (h.goneAt == 0 || now - h.goneAt < GONE_KEPT || h.inFlight > 0) return false;
        h.group.members.remove(h);
        if (h.group.primary == h) h.group.primary = null;
        return true;
    }

    private void listed(long now, HostEntry e) {
        Host h = hosts.get(e.host());
        Group g = groupOf(e.group());
        if (h != null && h.group != g) {
            // Moved to another group: nothing known of it holds there, and its old group must not use it.
            h.ready = false;
            h.group.members.remove(h);
            if (h.group.primary == h) h.group.primary = null;
        }
        if (h == null || h.group != g) {
            h = new Host(e.host(), e.zone(), g, new ConcurrencyLimit(routers(), allPrimaries, 1));
            // Routers that were all told at once do not all ask at once.
            long apart = Math.min(POLL_EVERY / 2, (long) (routers() * POLL_APART));
            h.pollDue = now + (long) (random.nextDouble() * apart);
            hosts.put(h.name, h);
            g.members.add(h);
        }
        // Drains: nothing new goes to a host told draining or gone, from this moment on.
        h.drains = e.state() == HostState.DRAINING || (h.drains && e.state() == HostState.GONE);
        h.ready = !h.drains;
        h.doubted = false;
        h.goneAt = 0;
        if (e.state() == HostState.GONE) gone(now, h);
        if (e.lastStart() > h.listedStart) {
            h.listedStart = e.lastStart();
            judgeStart(now, h);
        }
        // The list's role is late: it only fills in where nothing better is known.
        if (settings.listTellsRole() && e.primary() && h.group.primary == null) claimPrimary(h, 0);
    }

    /** Whether a host is in slow start by what the list tells of its start. */
    private void judgeStart(long now, Host h) {
        long ago = positions.startedAgo(now, h.listedStart);
        if (ago < settings.guards().warmAfter()) {
            h.slowStart.listed(now - ago);
            logCold(h);
        } else {
            h.slowStart.listedAsWarm();
        }
    }

    /** A primary told its position: where that shows the own clock wrong, start times are judged anew. */
    private void primaryAt(long now, Group g, long position) {
        if (position == SplitterApi.UNKNOWN || !positions.heardPrimary(g.number, now, position)) return;
        long millis = positions.wrongBy() / 1000;
        actions.log("clock: hosts' positions are " + millis + " ms ahead of this machine's clock");
        for (Host h : hosts.values()) if (h.listedStart > 0) judgeStart(now, h);
    }

    private void startCold(Host h, long since) {
        h.slowStart.found(since);
        logCold(h);
    }

    private void logCold(Host h) {
        actions.log("cold " + h.name + ": ramp from its start");
    }

    /** The share of its capacity that a host can be trusted with after its start. */
    private double warmth(Host h, long now) {
        return h.slowStart.share(now, settings.guards());
    }

    @Override
    public void onRequest(long at, Request r) {
        long now = clock(at);
        Kind kind = kinds[r.classIndex()];
        double unstrained = Math.max(0, 1 - allReplicas.answerTime() / ConcurrencyLimit.STRAIN_AIM);
        double more = SPARE_RATE + (SPARE_RATE_SWIFT - SPARE_RATE) * unstrained;
        furtherAttempts.earn(more, rate(now));
        double polls = DEMAND_BUDGET / Math.max(1e-9, settings.probePrice());
        demandedPolls.earn(polls, rate(now));
        requestRate = rate(now) + 1e6 / RATE_SPAN;
        rateAt = now;
        Open q = new Open(
                r,
                kind,
                now,
                tokenOf(now, r, kind),
                overShare(now, r.tenant()),
                luckOf(r),
                settings.limits().maxAttempts());
        open.put(r.id(), q);
        dispatch(now, q);
    }

    /** Requests a second at this router. */
    private double rate(long now) {
        return requestRate * Math.exp((rateAt - now) / RATE_SPAN);
    }

    /** Where only a part may pass the lucky do; a session keeps its luck, so trying again is no way in. */
    private double luckOf(Request r) {
        return r.session() == null
                ? random.nextDouble()
                : new Random(r.session().hashCode() * 0x9E3779B97F4A7C15L).nextDouble();
    }

    /** The position that a session's read must see; a carried one counts back from the arrival. */
    private long tokenOf(long now, Request r, Kind kind) {
        if (kind.of.freshness() != Freshness.SESSION) return SplitterApi.UNKNOWN;
        if (!settings.rememberedTokens()) {
            return r.tokenAge() == SplitterApi.UNKNOWN ? r.tokenAge() : now - r.tokenAge() + TOKEN_SLACK;
        }
        return tokens.positionOf(r.session());
    }

    /** Whether a tenant sends more here than this router's part of its share. */
    private boolean overShare(long now, int tenant) {
        if (tenant < 0) return false;
        double all =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        double part = Math.max(1 / routers(), all > 0 ? requestRate / all : 0);
        double quota = settings.tenants().get(tenant).quotaPerSecond() * part;
        Share s = shares[tenant];
        s.saved = Math.min(Math.max(SHARE_SAVED, quota), s.saved + quota * (now - s.at) / 1e6);
        s.at = now;
        if (s.saved < 1) return true;
        s.saved--;
        return false;
    }

    private void dispatch(long now, Open q) {
        Host h = choose(now, q);
        // A client may come with no time left at all: it is owed its answer all the same.
        if (h != null) send(now, q, h);
        else if (now >= q.deadline - MARGIN) giveUp(now, q);
        else if (!q.waits) {
            q.waits = true;
            q.waitsSince = now;
            groupOf(q.request.group()).waiting.add(q);
            wake(now, now + TICK);
        }
    }

    private Group groupOf(int number) {
        return groups.computeIfAbsent(
                number, n -> new Group(n, new ConcurrencyLimit(routers(), allReplicas, 0), REPORT_AGE));
    }

    private void send(long now, Open q, Host h) {
        int n = q.attempts++;
        q.tried[n] = h;
        q.sentAt[n] = now;
        q.overdue = false;
        q.isOut[n] = true;
        q.out++;
        accrue(now, h);
        h.inFlight++;
        long until = q.kind.of.lateWorth() == 0 && q.repeatable() ? q.arrived + q.kind.of.aim() : 0;
        actions.send(q.request.id(), h.name, until < q.deadline ? until : 0, beginBy(now, q));
        wake(now, stuckAt(q));
    }

    /** Until when what a choice rests on holds: how recent a replica is, or that a repeat is dropped. */
    private static long beginBy(long now, Open q) {
        if (q.kind.of.freshness() == Freshness.BOUNDED) return now + FRESH_FOR;
        return q.mayHaveRun && !q.repeatable() ? windowEnd(q) : Long.MAX_VALUE;
    }

    /** Hosts drop the repeats of a keyed request until then. */
    private static long windowEnd(Open q) {
        return q.firstMayHaveRun + q.kind.of.window() - MARGIN;
    }

    /** The ordinary path: a random replica known to be recent enough, else the primary. */
    private Host choose(long now, Open q) {
        Group g = groupOf(q.request.group());
        if (q.request.pinned() != null) return pinned(now, g, q);
        if (q.needsPrimary()) return mustConfirm(now, g) ? null : usablePrimary(now, g, q);
        // Where replicas check reads a miss is cheap, so those that may be recent enough count as well: with
        // proven ones alone, all reads crowd for a moment upon whichever replica was polled last.
        boolean checked = settings.readCheck() != ReadCheck.NONE;
        long need = need(now, q);
        long guess = checked && q.kind.of.freshness() == Freshness.BOUNDED ? g.reportAge : 0;
        Host h = pick(now, g, q, need, guess, true);
        // A poll serves the reads of its group within a bound. Where less than one comes in that time it
        // costs more than that read gains on a replica in place of a primary with room for it.
        boolean rare = rate(now) * tightestBound < 1e6 * groups.size();
        Host p = rare && h == null && !q.isAt(g.primary, true) ? usablePrimary(now, g, q) : null;
        if (p == null && (h == null || crowded(h)) && mayProve(now, g, q, need)) return null;
        h = h != null || p != null ? h : pick(now, g, q, need, guess, false);
        if (!q.counted) {
            q.counted = true;
            double fell = h == null ? 1 : 0;
            fallen += NEWEST * (fell - fallen);
            g.fallen += NEWEST * (fell - g.fallen);
        }
        // Where no primary can be used the next is looked for at once: writes may come too rarely.
        if (h == null && (g.primary == null || g.primary.silent || !g.primary.ready)) mustConfirm(now, g);
        h = h != null ? h : p != null ? p : usablePrimary(now, g, q);
        // Under lag the primary is full first: a miss is still cheaper than a refusal.
        return h == null && checked ? pick(now, g, q, need, g.reportAge, false) : h;
    }

    /** A pinned read's own host while that is known to be recent enough; it is polled to find out. */
    private Host pinned(long now, Group g, Open q) {
        Host h = hosts.get(q.request.pinned());
        if (h == null || h.group != g || !h.ready || h.silent || q.attempts > 0) return null;
        if (h == g.primary || (!q.needsPrimary() && h.position >= need(now, q))) return h;
        if (settings.limits().probing() && !h.pollOut && now - h.polledAt >= DEMAND_WAIT) ask(now, h);
        return null;
    }

    /** The position that an attempt sent now must find; a bounded read's moves with each send. */
    private long need(long now, Open q) {
        if (q.kind.of.freshness() != Freshness.BOUNDED) return q.token;
        if (!positions.isKnown(q.request.group())) return NO_POSITION;
        return positions.present(now) - q.kind.of.bound();
    }

    /** A random replica at or past {@code need}, or within {@code guess} of it and not shown to be behind. */
    private Host pick(long now, Group g, Open q, long need, long guess, boolean sure) {
        int n = g.members.size();
        if (weights.length < n) weights = new double[n];
        survey(now, g);
        double crowd = 0;
        int peers = 0;
        for (Host h : g.members) {
            if (isRecent(now, h, q, need, guess, sure) && !h.silent) {
                crowd += h.inFlight;
                peers++;
            }
        }
        // Chance alone loads one replica to twice another; the crowded one sits out a draw or two.
        crowd = peers == 0 ? 0 : CROWDED * crowd / peers + 1;
        double sum = 0;
        double use = (outThere + q.luck) / (trustedThere * g.eachReplica.value(now)) / room(q);
        int ready = 0;
        for (int i = 0; i < n; i++) {
            Host h = g.members.get(i);
            weights[i] = 0;
            ready += h.ready && h != g.primary ? 1 : 0;
            if (isRecent(now, h, q, need, guess, sure) && h.inFlight <= crowd && hasRoom(now, h, q, use)) {
                weights[i] = health(h) * warmth(h, now);
                sum += weights[i];
            }
        }
        if (sum <= 0) return null;
        double at = random.nextDouble() * sum;
        Host last = null;
        for (int i = 0; i < n && at >= 0; i++) {
            if (weights[i] > 0) last = g.members.get(i);
            at -= weights[i];
        }
        // A cold or silent host gets no more than its part when its warm peers are away: what all routers
        // together would send it in their stead pushes it over, or is lost.
        boolean weak = last.silent || (last.slowStart.isActive() && warmth(last, now) < 1);
        return weak && q.luck >= sum / Math.max(1, ready) ? null : last;
    }

    /** A replica that may take this read: proven recent, or plausibly so where a guess is allowed. */
    private boolean isRecent(long now, Host h, Open q, long need, long guess, boolean sure) {
        boolean plausible = guess > 0
                && now - h.missAt > MISS_REST
                && (h.lag <= positions.present(now) - need + guess || now - h.toldAt > LAG_KNOWN);
        return h.ready
                && h != h.group.primary
                && (plausible || h.position >= need)
                && (!sure || trusted(now, h))
                && !q.isAt(h, q.attempts < 3);
    }

    /** After signs of lost hosts, or against the list, only a host that was heard from is used unasked. */
    private boolean trusted(long now, Host h) {
        boolean wary = h.doubted || (settings.limits().probing() && now - alarmAt < WARY);
        return !wary || now - h.heardAt < WARY;
    }

    /** Whether one proven replica gets all that this router sends to its group, for want of others proven. */
    private static boolean crowded(Host h) {
        double out = 0;
        for (Host peer : h.group.members) out += peer.inFlight;
        return h.inFlight > CROWDED * out / h.group.members.size() + 0.5;
    }

    /** Polls a few random members that may prove recent enough; true while it pays to wait for them. */
    private boolean mayProve(long now, Group g, Open q, long need) {
        if (!settings.limits().probing()) return false;
        boolean out = false;
        int candidates = 0;
        for (Host h : g.members) {
            out |= h.pollOut && now - h.polledAt < DEMAND_WAIT;
            if (isRecent(now, h, q, need, 0, true) && !crowded(h)) return false;
            candidates += canProve(now, h, q, need) ? 1 : 0;
        }
        if (now - q.askedAt < DEMAND_WAIT && out) return true;
        if (candidates == 0 || (q.asked >= DEMAND_ROUNDS && now - q.askedAt < SEEK_EVERY)) return false;
        q.asked++;
        q.askedAt = now;
        boolean sent = demandedPolls.isEnough();
        for (int n = Math.min(candidates, DEMAND_AT_ONCE); n > 0 && demandedPolls.isEnough(); n--) {
            int skip = random.nextInt(candidates--);
            for (Host h : g.members) {
                if (canProve(now, h, q, need) && skip-- == 0) {
                    demandedPolls.spend();
                    ask(now, h);
                    break;
                }
            }
        }
        return sent;
    }

    /** A replica whose poll could show it recent enough: not just polled, and not shown to be far behind. */
    private boolean canProve(long now, Host h, Open q, long need) {
        if (!h.ready
                || h == h.group.primary
                || h.pollOut
                || (h.silent && h.lost > 0)
                || now - h.polledAt < DEMAND_WAIT
                || q.isAt(h, q.attempts < 3)) return false;
        long present = positions.present(now);
        boolean behind = now - h.toldAt < LAG_KNOWN && h.lag > present - need + h.group.reportAge;
        return need <= present - youngestReport && !behind;
    }

    private void ask(long now, Host h) {
        h.pollOut = true;
        h.polledAt = now;
        actions.probe(h.name);
    }

    /** The own time at which the newest position of a group was the present. */
    private long headAt(long now, Group g) {
        return positions.ownTime(g.number, now, g.head);
    }

    /** No write is risked on a primary unheard of for long; advancing replicas or an error show it lives. */
    private boolean mustConfirm(long now, Group g) {
        Host p = g.primary;
        if (!settings.limits().probing()) return false;
        boolean heard = p != null && Math.max(p.heardAt, headAt(now, g)) > now - CONFIRM;
        boolean lives = heard && p.ready && !p.silent;
        if (lives) g.seeks = 0;
        // In the end all routers together ask a host no oftener than one alone does at first.
        double wait = SEEK_EVERY * Math.min(1 << Math.min(10, g.seeks), Math.max(SEEK_FEW, routers()));
        if (lives || now - g.soughtAt < wait) return !lives;
        g.soughtAt = now;
        g.seeks++;
        boolean all = p == null || !p.ready || p.silent || p.lost > 0 || now - p.polledAt < 2 * SEEK_EVERY;
        for (Host h : g.members) if (h.ready && !h.pollOut && (all || h == p)) ask(now, h);
        return true;
    }

    /** What is out at a group's replicas, what they are trusted with, and their time over the usual. */
    private void survey(long now, Group g) {
        outThere = trustedThere = usualStretch = 0;
        int count = 0;
        for (Host h : g.members) {
            if (h == g.primary || !h.ready || h.silent) continue;
            h.health.fade(now);
            outThere += h.inFlight;
            trustedThere += warmth(h, now);
            usualStretch += h.health.stretch();
            count++;
        }
        trustedThere = Math.max(1e-6, trustedThere);
        usualStretch = count == 0 ? 1 : usualStretch / count;
    }

    /** Room for this request: in the group, and at the host, which chance may load to twice the mean. */
    private boolean hasRoom(long now, Host h, Open q, double use) {
        if (h.silent) return q.repeatable() && h.inFlight == 0;
        double limit = Math.max(1, 2 * h.group.eachReplica.value(now) * warmth(h, now));
        return use < 1 && h.inFlight < limit && now - h.fullAt >= MISS_REST;
    }

    /** The share of the room open to a request: less for little worth, less over its tenant's share. */
    private static double room(Open q) {
        return q.overShare ? OVER_SHARE_ROOM * q.kind.room : q.kind.room;
    }

    /** A replica's weight by its symptoms: silence, failures, time over its peers. */
    private double health(Host h) {
        double over = h.health.stretch() / usualStretch;
        if (h.silent || h.health.isFailing()) return TRIAL_WEIGHT;
        double w = (1 - h.health.failures()) * (1 - h.health.failures());
        return over > SLOW ? Math.max(TRIAL_WEIGHT, w * SLOW * SLOW / (over * over) / 2) : w;
    }

    @Override
    public int avoided(long now) {
        int count = 0;
        for (Host h : hosts.values()) {
            h.health.fade(now);
            if (h.goneAt == 0 && (!h.ready || h.silent || h.health.isFailing())) count++;
        }
        return count;
    }

    /** The primary, if it is there and has room; reads may fill only a part of it. */
    private Host usablePrimary(long now, Group g, Open q) {
        Host p = g.primary;
        if (p == null || !p.ready || q.isAt(p, false) || now - p.fullAt < MISS_REST) return null;
        if (p.silent) return q.repeatable() && p.inFlight == 0 && q.luck < TRIAL_WEIGHT ? p : null;
        // Of reads that fall back those of most worth for their time may fill what writes may.
        double reads = PRIMARY_READS + (1 - PRIMARY_READS) * q.kind.worth;
        double part = room(q) * (q.needsPrimary() ? 1 : reads) * warmth(p, now);
        // Reads that fall back in mass drown it: but for what its own answers speak for, their sum over all
        // routers stays in its room.
        double others = !allPrimaries.isStrained() ? POOLED_HEARD * allPrimaries.evidence() : 0;
        double evidence = p.asPrimary.evidence() + others;
        double heardOf = evidence / (evidence + ConcurrencyLimit.POOLED);
        double fits = PRIMARY_READS / Math.max(1, g.members.size() - 1) / Math.max(g.fallen, fallen);
        if (!q.needsPrimary() && q.luck >= heardOf + (1 - heardOf) * fits) return null;
        boolean cold = p.slowStart.isActive() && q.luck >= warmth(p, now);
        return !cold && p.inFlight + q.luck < p.asPrimary.value(now) * part ? p : null;
    }

    @Override
    public void onOutcome(long at, Outcome o) {
        Open q = open.get(o.id());
        if (q == null || o.attempt() < 0 || o.attempt() >= q.attempts || !q.isOut[o.attempt()]) return;
        Host h = q.tried[o.attempt()];
        long now = clock(at);
        q.isOut[o.attempt()] = false;
        q.out--;
        accrue(now, h);
        h.inFlight--;
        learn(now, h, q, o);
        if (o.finished() && !q.finished) finish(q);
        else if (!q.finished) goOn(now, q, o);
        if (q.finished && q.out == 0) open.remove(o.id());
        serveWaiting(now, h.group);
    }

    private void finish(Open q) {
        q.finished = true;
        callOff(q);
        if (q.out == 0) open.remove(q.request.id());
    }

    private void goOn(long now, Open q, Outcome o) {
        if (!o.ending().neverRan()) {
            if (!q.mayHaveRun) q.firstMayHaveRun = q.sentAt[o.attempt()];
            q.mayHaveRun = true;
        }
        if (q.out > 0) return;
        boolean late = q.kind.of.lateWorth() == 0 && q.repeatable() && now >= q.arrived + q.kind.of.aim();
        // What failed at the primary may be proven elsewhere before it meets the same fault again.
        if (o.ending() == Ending.ERROR) q.asked = 0;
        if (late || !mayRepeat(now, q) || !spend(o.ending())) giveUp(now, q);
        else dispatch(now, q);
    }

    /** No effect twice: what may have run goes out again only where its class says so. */
    private boolean mayRepeat(long now, Open q) {
        int most = Math.min(q.tried.length, settings.limits().maxAttempts());
        if (q.attempts >= most || now >= q.deadline - MARGIN) return false;
        if (q.request.pinned() != null) return q.attempts == 0;
        if (!q.mayHaveRun || q.repeatable()) return true;
        if (q.kind.of.repeat() != Repeat.KEYED || q.kind.of.scope() == RepeatScope.ZONE) return false;
        return now < windowEnd(q);
    }

    /** A called-off attempt was paid for when it was called off. */
    private boolean spend(Ending e) {
        if (e == Ending.MISS || e == Ending.MOOT || e == Ending.CANCELLED) return true;
        return furtherAttempts.spend();
    }

    /** The final answer at once: refused where that is true and harmless, else failed. */
    private void giveUp(long now, Open q) {
        boolean harmless = q.repeatable()
                || (!q.mayHaveRun && q.out == 0)
                || (q.kind.of.repeat() == Repeat.KEYED && q.kind.of.scope() == RepeatScope.ALL);
        long longest = settings.limits().maxRetryAfter();
        long soon = (long) (COME_BACK * q.kind.of.aim());
        long back = now + soon < q.arrived + q.kind.of.aim() ? Math.min(longest, soon) : longest;
        if (harmless) actions.refuse(q.request.id(), settings.limits().retryAfter() ? back : 0);
        else actions.fail(q.request.id());
        finish(q);
    }

    @Override
    public void onHangUp(long at, long id) {
        clock(at);
        Open q = open.get(id);
        if (q != null && !q.finished) finish(q);
    }

    @Override
    public void onEnd(long at) {
        for (Open q : List.copyOf(open.values())) if (!q.finished) giveUp(clock(at), q);
    }

    // ---- what answers and polls tell ----

    private void learn(long now, Host h, Open q, Outcome o) {
        Ending e = o.ending();
        boolean answered = e == Ending.OK || e == Ending.ERROR || e == Ending.FULL || e == Ending.MISS;
        if (answered) heard(now, h, true);
        if (e == Ending.NO_ROUTE) outOfReach(now, h);
        if (e == Ending.TIMEOUT) h.unanswered++;
        if (o.role() == Role.PRIMARY) claimPrimary(h, now);
        if (o.role() == Role.REPLICA) isReplica(h, now);
        long sent = q.sentAt[o.attempt()];
        boolean write = q.kind.of.freshness() == Freshness.WRITE;
        boolean told = o.position() != SplitterApi.UNKNOWN, checked = settings.readCheck() != ReadCheck.NONE;
        if (told && o.role() == Role.PRIMARY) primaryAt(now, h.group, o.position());
        long lag = positions.present(now) - o.position();
        if (told && o.role() == Role.REPLICA) rise(now, h, o.position(), lag);
        // A checked read that was served proves that its replica had come as far as was asked for.
        else if (e == Ending.OK && checked && o.role() == Role.REPLICA && need(sent, q) < NO_POSITION) {
            proven(h, need(sent, q));
        }
        if (e == Ending.MISS && !write) h.missAt = now;
        if (e == Ending.FULL) h.fullAt = now;
        if (e == Ending.OK && write && q.request.session() != null && settings.rememberedTokens()) {
            long position = told ? o.position() : positions.present(now);
            tokens.written(now, q.request.session(), position);
        }
        // What came while this router stood still tells nothing of the hosts.
        if (sent >= awakeSince || (e != Ending.TIMEOUT && e != Ending.OK)) measure(now, h, q, o, answered);
    }

    private void measure(long now, Host h, Open q, Outcome o, boolean answered) {
        Ending e = o.ending();
        Kind k = q.kind;
        h.health.fade(now);
        if (e == Ending.OK) {
            double off = o.latency() - k.mean;
            h.health.answered(o.latency() / k.mean);
            k.mean += NEWEST_OF_CLASS * off;
            k.assumed *= 1 - NEWEST_OF_CLASS;
            k.deviation += NEWEST_OF_CLASS * (Math.abs(off) - k.deviation);
        }
        boolean bad = e == Ending.ERROR || e == Ending.NO_ROUTE || e == Ending.RESET;
        if (e != Ending.MISS && e != Ending.MOOT && e != Ending.CANCELLED) {
            h.health.ended(bad);
            boolean late = o.latency() > k.mean + STUCK * k.deviation;
            boolean lost = e == Ending.RESET || (e == Ending.TIMEOUT && late);
            if (lost || e == Ending.OK) lossy += 0.5 * NEWEST * ((lost ? 1 : 0) - lossy);
        }
        // What was given up when hardly begun, as its request's time ran out, tells nothing of a host.
        boolean givenUp = e == Ending.TIMEOUT || (e == Ending.CANCELLED && !q.finished);
        if (e == Ending.OK || e == Ending.FULL || (givenUp && o.latency() >= OVERDUE * k.of.aim())) {
            double ofAim = e == Ending.OK ? (double) o.latency() / k.of.aim() : ConcurrencyLimit.NOT_IN_TIME;
            strain(now, h, Math.min(ConcurrencyLimit.NOT_IN_TIME, ofAim), answered, e == Ending.FULL);
        }
    }

    private void strain(long now, Host h, double ofAim, boolean answered, boolean full) {
        Group g = h.group;
        if (h == g.primary) h.asPrimary.sample(now, ofAim, answered, full, h.inFlight, 1);
        else if (!h.silent) {
            survey(now, g);
            g.eachReplica.sample(now, ofAim, answered, full, outThere / trustedThere, 1 / trustedThere);
        }
    }

    /** A host spoke: it is not silent, and if it was out of reach it is taken to have come back cold. */
    private void heard(long now, Host h, boolean served) {
        h.heardAt = now;
        if (h.silent && h.lost > 0) startCold(h, now);
        // A hung host may answer polls: that ends its silence only after a while, or a hang would be fed.
        if (served || h.lost > 0 || (h.silent && now - h.silentAt > WARY)) {
            if (h.silent) actions.log("back " + h.name);
            h.silent = false;
            rested(now, h);
        }
        h.lost = 0;
    }

    /** Two polls lost or connections not made, in a row: a zone may be gone, so look again at once. */
    private void outOfReach(long now, Host h) {
        alarmAt = now;
        h.pollDue = Math.min(h.pollDue, now);
        h.toldAt = 0;
        if (++h.lost >= 2 && !h.silent) fallSilent(now, h, "out of reach");
    }

    private void rise(long now, Host h, long position, long lag) {
        h.lag = lag;
        h.toldAt = now;
        youngestReport = Math.min(lag, youngestReport);
        proven(h, position);
    }

    private static void proven(Host h, long position) {
        h.position = Math.max(h.position, position);
        h.group.head = Math.max(h.group.head, position);
    }

    /** The newest evidence of a primary wins, whatever order it comes in. */
    private void claimPrimary(Host h, long at) {
        Group g = h.group;
        if (at < h.replicaAt || at < g.primaryAt) return;
        if (g.primary != h) actions.log("group " + g.number + ": primary is " + h.name);
        g.primary = h;
        g.primaryAt = at;
    }

    private void isReplica(Host h, long at) {
        h.replicaAt = Math.max(h.replicaAt, at);
        if (h.group.primary != h || at < h.group.primaryAt) return;
        h.group.primary = null;
        actions.log("group " + h.group.number + ": " + h.name + " is no longer primary");
    }

    @Override
    public void onProbed(long at, String host, Ending ending, long latency, Report report) {
        long now = clock(at);
        Host h = hosts.get(host);
        if (h == null) return;
        h.pollOut = false;
        if (ending == Ending.TIMEOUT || ending == Ending.NO_ROUTE) {
            // A lost poll proves nothing against a host that answered since, or in a stall of this router.
            if (Math.max(h.answeredAt, awakeSince) < h.polledAt) outOfReach(now, h);
        } else if (ending == Ending.OK && report != null) {
            heard(now, h, false);
            if (report.role() == Role.PRIMARY) primaryAt(now, h.group, report.position());
            long age = positions.present(now) - report.position();
            long reportedAt = positions.ownTime(h.group.number, now, report.position());
            if (report.role() == Role.PRIMARY) {
                // A primary stands at the present, so its position is the time of its report.
                h.toldAt = now;
                if (report.position() != SplitterApi.UNKNOWN) {
                    h.group.reportAge = Math.max(age, (long) (h.group.reportAge * 0.95));
                }
                claimPrimary(h, reportedAt);
            } else if (report.role() == Role.REPLICA && report.position() != SplitterApi.UNKNOWN) {
                isReplica(h, Math.max(reportedAt, now - latency - h.group.reportAge));
                rise(now, h, report.position(), age);
            }
        } else if (ending == Ending.RESET) {
            // A connection broke under the poll: if the host is lost, the next one will not be made either.
            h.pollDue = Math.min(h.pollDue, now);
        } else if (ending != Ending.MOOT) { // never sent: it tells nothing
            // An error is a sign of life, if of nothing else; it must not be asked for again at once.
            h.heardAt = now;
            h.lost = 0;
            h.pollDue = Math.max(h.pollDue, now + POLL_EVERY);
        }
        serveWaiting(now, h.group);
    }

    /** Asks for a tick when something is due, and for none while nothing is. */
    private void wake(long now, long due) {
        long at = Math.max(due, now + TICK);
        if (at >= wakeAt) return;
        wakeAt = at;
        actions.timer("tick", at - now);
    }

    @Override
    public void onTimer(long at, String name) {
        long now = clock(at);
        if (name.equals("subscribe")) actions.subscribe();
        if (!name.equals("tick") || now < wakeAt - MARGIN) return;
        if (now - wakeAt > STALL) awakeSince = now;
        wakeAt = Long.MAX_VALUE;
        tick(now);
    }

    private void tick(long now) {
        long every = pollInterval(now);
        if (every < RAREST_POLL) {
            for (Host h : hosts.values()) poll(now, h, every);
            wake(now, now + TICK);
        }
        double patience = patience();
        for (Open q : open.values()) {
            if (q.finished || q.out == 0) continue;
            Host h = q.tried[q.attempts - 1];
            listen(now, h, patience);
            long due = Math.max(q.sentAt[q.attempts - 1], awakeSince) + (long) (OVERDUE * q.kind.of.aim());
            if (!q.overdue && now >= due) {
                q.overdue = true;
                strain(now, h, OVERDUE, true, false);
            }
            if (now >= stuckAt(q) && q.out == 1 && furtherAttempts.isEnough()) rescue(now, q, h);
            wake(now, Math.max(now + 2 * TICK, stuckAt(q)));
        }
        for (Group g : groups.values()) {
            serveWaiting(now, g);
            if (!g.waiting.isEmpty()) wake(now, now + TICK);
        }
    }

    /** A time within which a host with work out should have said something, whatever the work. */
    private double patience() {
        double most = 0;
        for (Kind k : kinds) most = Math.max(most, k.mean + 2 * k.deviation);
        return 2 * most;
    }

    /** Silence with work out: the answers that were due since the last look; any answer clears the sum. */
    private void accrue(long now, Host h) {
        double typical = 0;
        for (Kind k : kinds) typical += k.mean / kinds.length;
        long from = Math.max(h.accruedAt, awakeSince);
        h.owed += h.inFlight * Math.max(0, now - from) / (typical * Math.max(1, h.health.stretch()));
        h.accruedAt = now;
        if (h.inFlight + h.unanswered == 0) rested(now, h);
    }

    private static void rested(long now, Host h) {
        h.owed = h.unanswered = 0;
        h.answeredAt = now;
    }

    private void listen(long now, Host h, double patience) {
        accrue(now, h);
        // One long request is no silence, and a primary whose replicas still advance is slow, not lost.
        boolean ships = h == h.group.primary && headAt(now, h.group) > now - patience;
        boolean many = h.inFlight + h.unanswered >= SILENT_REQUESTS;
        long since = Math.max(h.answeredAt, awakeSince);
        boolean noAnswers = h.owed > SILENCE && many && !ships && now - since > patience;
        if (!h.silent && noAnswers) fallSilent(now, h, "work out and no answers");
    }

    private void fallSilent(long now, Host h, String why) {
        h.silent = true;
        h.silentAt = now;
        actions.log("silent " + h.name + (h == h.group.primary ? " (primary)" : "") + ": " + why);
        for (Open q : open.values()) if (!q.finished && q.isAt(h, false)) rescue(now, q, h);
    }

    /** When a request is tried elsewhere: far past its class's usual time; earlier while answers get lost. */
    private long stuckAt(Open q) {
        Kind k = q.kind;
        long since = Math.max(q.sentAt[q.attempts - 1], awakeSince);
        double after = k.mean + STUCK * k.deviation;
        if (losesAnswers()) {
            double left = q.arrived + k.of.aim() - 1.5 * k.mean - since;
            after = Math.min(after, Math.max(k.mean + STUCK_LOSSY * k.deviation, left));
        }
        return since + (long) after;
    }

    /** More answers are missing than the times of those that come explain: lost on the way, not overload. */
    private boolean losesAnswers() {
        double swift = Math.max(0.05, allReplicas.answerTime());
        boolean isSwift = swift < ConcurrencyLimit.SWIFT * ConcurrencyLimit.STRAIN_AIM;
        return isSwift && lossy > LOSSY + Math.exp(-1 / swift);
    }

    /** Moves a repeatable request off a host: by a second copy, or by calling the first one off. */
    private void rescue(long now, Open q, Host from) {
        if (q.kind.of.repeat() == Repeat.UNSAFE || !mayRepeat(now, q) || q.out > 1) return;
        if (!furtherAttempts.isEnough()) return;
        if (settings.limits().secondCopies() && q.repeatable()) {
            Host h = choose(now, q);
            if (h == null || h == from) return;
            furtherAttempts.spend();
            send(now, q, h);
        } else if (settings.limits().cancelling() && (from.silent || losesAnswers())) {
            furtherAttempts.spend();
            callOff(q);
        }
    }

    private void callOff(Open q) {
        for (int i = 0; i < q.attempts && settings.limits().cancelling(); i++)
            if (q.isOut[i]) actions.cancel(q.request.id(), i);
    }

    /** How often each host is polled by the timer: by the design, or as often as the price allows. */
    private long pollInterval(long now) {
        if (!settings.limits().probing() || hosts.isEmpty()) return Long.MAX_VALUE;
        double affordable = POLL_BUDGET / Math.max(1e-9, settings.probePrice()) * rate(now);
        double every = hosts.size() * 1e6 / Math.max(1e-9, affordable);
        return Math.max(Math.min(POLL_EVERY, tightestBound / POLLS_A_BOUND), (long) Math.min(1e12, every));
    }

    private void poll(long now, Host h, long every) {
        long due = h.toldAt > 0 ? Math.max(h.pollDue, h.toldAt + every) : h.pollDue;
        if (h.pollOut || now < due || !h.ready) return;
        h.pollDue = now + (long) (every * (0.9 + 0.2 * random.nextDouble()));
        ask(now, h);
    }

    /** Those who wait, of most worth for their time first: sent as room appears, given up in time. */
    private void serveWaiting(long now, Group g) {
        boolean primary = g.primary != null && g.primary.ready && !g.primary.silent;
        List<Open> inTurn = new ArrayList<>(g.waiting);
        inTurn.sort(Comparator.comparingDouble(q -> -q.kind.worth));
        g.waiting.clear();
        for (Open q : inTurn) {
            q.waits = false;
            if (q.finished) continue;
            // A keyed repeat's window may have closed while it waited.
            boolean may = mayRepeat(now, q);
            Host h = may ? choose(now, q) : null;
            if (h != null) send(now, q, h);
            else if (!may || now >= waitsUntil(q, primary)) giveUp(now, q);
            else {
                q.waits = true;
                g.waiting.add(q);
            }
        }
    }

    /** Writes are held through the loss of a primary; all else waits only a part of its aim. */
    private long waitsUntil(Open q, boolean primary) {
        RequestClass of = q.kind.of;
        // Told no early, a client may yet be served; told late with nothing sent, its time was wasted.
        long unsent = q.arrived + (long) (UNSENT_HELD * q.request.patience());
        long last = q.attempts > 0 ? q.deadline - MARGIN : Math.min(unsent, q.deadline - MARGIN);
        if (q.needsPrimary() && of.lateWorth() > 0 && !primary) return last;
        double part = q.needsPrimary() ? WRITE_WAIT : READ_WAIT;
        return Math.min(last, q.waitsSince + (long) (part * of.aim()));
    }

    /** Nothing is asked of peers: their messages may be lost, and each router decides on its own. */
    @Override
    public void onPeer(long now, int from, String text) {}
}
