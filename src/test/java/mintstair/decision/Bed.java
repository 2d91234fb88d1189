package mintstair.decision;

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
import mintstair.decision.SplitterApi.Tenant;

/** A router under test: settings that a test may alter, a clock, and the actions it took. */
final class Bed implements SplitterApi.Actions {
    static final int BOUNDED = 0;
    static final int SESSION = 1;
    static final int UNSAFE_WRITE = 2;
    static final int KEYED_WRITE = 3;
    static final int ANY = 4;
    static final long MS = 1_000;

    /** One attempt as sent. */
    record Sent(long id, String host, long abandonAt, long beginBy, long at) {}

    final List<Sent> sends = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> comeBacks = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final StringBuilder trace = new StringBuilder();
    int subscribed;
    int answered;
    ReadCheck check = ReadCheck.NONE;
    boolean remembered;
    boolean goneIsAdvice;
    boolean secondCopies = true;
    int routers = 1;
    long seed = 7;
    boolean oneSession = true;
    int maxAttempts = 6;
    /** Of all classes, and for repeats of keyed writes, where not 0. */
    long deadline;

    long window;
    long now = 1_000_000_000L;
    SplitterApi.Router router;

    Bed start() {
        router = new ReadWriteSplitter(now, seed, settings(), this);
        return this;
    }

    Settings settings() {
        List<RequestClass> classes = List.of(
                new RequestClass(
                        "b", Freshness.BOUNDED, Repeat.SAFE, RepeatScope.ALL, 200 * MS, 600 * MS, 2500 * MS, 0, 2, 0),
                new RequestClass("s", Freshness.SESSION, Repeat.SAFE, RepeatScope.ALL, 0, 400 * MS, 1200 * MS, 0, 3, 0),
                new RequestClass(
                        "u", Freshness.WRITE, Repeat.UNSAFE, RepeatScope.ALL, 0, 1000 * MS, 3000 * MS, 0, 4, 0.5),
                new RequestClass(
                        "k",
                        Freshness.WRITE,
                        Repeat.KEYED,
                        RepeatScope.GROUP,
                        0,
                        750 * MS,
                        5000 * MS,
                        900 * MS,
                        4,
                        0.7),
                new RequestClass("a", Freshness.ANY, Repeat.SAFE, RepeatScope.ALL, 0, 250 * MS, 1000 * MS, 0, 3, 0));
        if (deadline > 0) {
            classes = classes.stream()
                    .map(c -> new RequestClass(
                            c.name(),
                            c.freshness(),
                            c.repeat(),
                            c.scope(),
                            c.bound(),
                            Math.min(c.aim(), deadline),
                            deadline,
                            c.window() > 0 ? window : 0,
                            c.worth(),
                            c.lateWorth()))
                    .toList();
        }
        return new Settings(
                routers,
                0,
                "z",
                classes,
                List.of(new Tenant("t", 100)),
                0.1,
                remembered,
                check,
                true,
                false,
                true,
                false,
                0.01,
                0,
                new Guards(250 * MS, 0.2, 10_000 * MS, 3, 2_000 * MS, goneIsAdvice),
                new Limits(maxAttempts, true, true, false, secondCopies, true, 500 * MS));
    }

    /** Group 0: primary p, replicas r1 to r3, all up to date and known to be. */
    Bed group() {
        list(ListKind.WHOLE, ready("p"), ready("r1"), ready("r2"), ready("r3"));
        poll("p", now, Role.PRIMARY);
        for (String r : List.of("r1", "r2", "r3")) {
            poll(r, now, Role.REPLICA);
        }
        return this;
    }

    static HostEntry ready(String host) {
        return new HostEntry(host, false, "z", 0, HostState.READY, 1, 0);
    }

    void list(ListKind kind, HostEntry... entries) {
        router.onList(now, kind, List.of(entries));
    }

    void state(String host, HostState state) {
        list(ListKind.CHANGES, new HostEntry(host, false, "z", 0, state, 1, 0));
    }

    void poll(String host, long position, Role role) {
        router.onProbed(now, host, Ending.OK, 500, new Report(position, role));
    }

    /** Answers all polls that are out, and those asked for upon that, with positions so far back. */
    void answerPolls(long behind) {
        for (; answered < probes.size(); answered++) {
            now += MS;
            poll(probes.get(answered), now - behind, probes.get(answered).equals("p") ? Role.PRIMARY : Role.REPLICA);
        }
    }

    /** Answers the polls that are out, but for those to one host, which are lost. */
    void loseOrAnswerPolls(String lost) {
        for (; answered < probes.size(); answered++) {
            String h = probes.get(answered);
            if (h.equals(lost)) {
                router.onProbed(now, h, Ending.TIMEOUT, 250 * MS, null);
            } else {
                poll(h, now - 50 * MS, h.equals("p") ? Role.PRIMARY : Role.REPLICA);
            }
        }
    }

    void request(long id, int kind) {
        request(id, kind, 2500 * MS, SplitterApi.UNKNOWN);
    }

    void request(long id, int kind, long patience, long tokenAge) {
        router.onRequest(now, new Request(id, kind, 0, session(id), 0, false, patience, tokenAge));
    }

    private String session(long id) {
        return oneSession ? "session" : "session " + seed + "/" + id;
    }

    void outcome(Sent s, int attempt, Ending ending, Role role, long position) {
        router.onOutcome(
                now, new Outcome(s.id, attempt, s.host, ending, now - s.at, ending == Ending.OK, role, position));
    }

    void outcome(Sent s, int attempt, Ending ending) {
        Role role = s.host.equals("p") ? Role.PRIMARY : Role.REPLICA;
        boolean tells = ending == Ending.OK || ending == Ending.ERROR || ending == Ending.FULL;
        outcome(s, attempt, ending, tells ? role : Role.UNTOLD, SplitterApi.UNKNOWN);
    }

    /** Lets time go on in ticks, without any event but the timers. */
    void pass(long time) {
        for (long end = now + time; now < end; ) {
            now += 20 * MS;
            router.onTimer(now, "tick");
        }
    }

    List<Sent> sendsOf(long id) {
        return sends.stream().filter(s -> s.id == id).toList();
    }

    Sent last() {
        return sends.get(sends.size() - 1);
    }

    @Override
    public void send(long id, String host, long abandonAt, long beginBy) {
        sends.add(new Sent(id, host, abandonAt, beginBy, now));
        trace.append("send ").append(id).append(' ').append(host).append('\n');
    }

    @Override
    public void cancel(long id, int attempt) {
        cancelled.add(id + "/" + attempt);
    }

    @Override
    public void refuse(long id, long comeBack) {
        refused.add(id);
        comeBacks.add(comeBack);
        trace.append("refuse ").append(id).append('\n');
    }

    @Override
    public void fail(long id) {
        failed.add(id);
        trace.append("fail ").append(id).append('\n');
    }

    @Override
    public void probe(String host) {
        probes.add(host);
        trace.append("probe ").append(host).append('\n');
    }

    @Override
    public void timer(String name, long after) {
        trace.append("timer ").append(name).append(' ').append(after).append('\n');
    }

    @Override
    public void subscribe() {
        subscribed++;
    }

    @Override
    public void tellPeers(String text) {}

    @Override
    public void log(String text) {
        logs.add(text);
    }
}
