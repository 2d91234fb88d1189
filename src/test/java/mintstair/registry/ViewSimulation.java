package mintstair.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import mintstair.registry.view.PollView;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewLimits;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewStep;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.WatchView;
import mintstair.standin.RegistryModel;

/** Runs one random schedule of a registry with three servers, the network and one view, in virtual time. */
final class ViewSimulation {
    private static final int STEPS = 1_000;
    private static final int SERVERS = 3;
    private static final long SETTLE_MICROS = 2_000_000;
    private static final int MAX_PAST_EVENTS = 20;

    private final int seed;
    private final boolean watched;
    private final Random random;
    private final RegistryModel model = new RegistryModel();
    private final RegistryView view;
    private final ViewMirror mirror;
    private final SimulatedServers servers;
    /** Copies of the registry before each restore since the view last matched the registry. */
    private final List<RegistryModel> modelsBeforeRestore = new ArrayList<>();

    private final List<RegistryEvent> pastEvents = new ArrayList<>();
    private long nowMicros = 1_000_000_000;
    private RegistryCall.Request callInProgress;

    ViewSimulation(int seed, boolean watched) {
        this.seed = seed;
        this.watched = watched;
        random = new Random(seed);
        mirror = new ViewMirror(seed);
        servers = new SimulatedServers(SERVERS, model, random);
        ViewTimeouts timeouts = ViewTimeouts.DEFAULT;
        view = watched
                ? new WatchView(RegistryFixtures.KEYS, ViewLimits.DEFAULT, timeouts, SERVERS, seed)
                : new PollView(RegistryFixtures.KEYS, ViewLimits.DEFAULT, timeouts, SERVERS, seed);
    }

    void run() {
        for (int i = 0; i < 5; i++) {
            changeHosts();
        }
        execute(view.start(nowMicros, null));
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(250) == 0) {
                settle();
            } else {
                takeRandomStep();
            }
        }
        settle();
    }

    private void takeRandomStep() {
        switch (random.nextInt(24)) {
            case 0, 1, 2, 3, 4 -> changeHosts();
            case 5 -> model.compact(model.revision - random.nextInt(4));
            case 6 -> failCall(random.nextInt(2) == 0 ? Reason.BROKEN : Reason.NO_LEADER);
            case 7 -> servers.changeLag();
            case 8 -> servers.changeSilence();
            case 9 -> {
                if (random.nextInt(12) == 0) {
                    restoreRegistry();
                }
            }
            case 10, 11, 12 -> passTime(random.nextInt(300_000));
            case 13 -> deliverLateEvent();
            default -> deliverNextEvent();
        }
    }

    private void changeHosts() {
        Map<String, String> values = new TreeMap<>();
        for (int n = 1 + random.nextInt(3) * random.nextInt(2); n > 0; n--) {
            String uid = "h" + random.nextInt(8);
            String value = switch (random.nextInt(8)) {
                case 0, 1, 2 -> null;
                case 3 -> "no host at all " + random.nextInt();
                default -> RegistryFixtures.hostJson(uid, random.nextInt(10_000));
            };
            values.put(RegistryFixtures.hostKey(uid), value);
        }
        model.change(values);
    }

    private void restoreRegistry() {
        modelsBeforeRestore.add(model.copy());
        long revision = Math.max(1, model.revision - random.nextInt(6));
        model.restore(revision, random.nextBoolean() ? model.cluster : model.cluster + 1);
        servers.endLag();
        failCall(Reason.BROKEN);
    }

    private void failCall(Reason reason) {
        if (callInProgress != null) {
            long callId = callInProgress.callId();
            callInProgress = null;
            deliver(new RegistryEvent.CallFailed(callId, reason, "simulated"));
        }
    }

    private void passTime(long micros) {
        long until = nowMicros + micros;
        while (view.wakeAt() <= until) {
            nowMicros = Math.max(nowMicros, view.wakeAt());
            execute(view.tick(nowMicros));
        }
        nowMicros = until;
    }

    /** Delivers the next event of the call in progress, if there is one. */
    private void deliverNextEvent() {
        if (callInProgress == null) {
            return;
        }
        RegistryEvent event = servers.nextEvent(callInProgress);
        if (event == null) {
            return;
        }
        if (SimulatedServers.endsCall(event, callInProgress)) {
            callInProgress = null;
        }
        deliver(event);
    }

    private void deliver(RegistryEvent event) {
        pastEvents.add(event);
        execute(view.on(nowMicros, event));
    }

    /** Delivers a random past event again, unless it belongs to the call in progress. */
    private void deliverLateEvent() {
        if (pastEvents.isEmpty()) {
            return;
        }
        RegistryEvent event = pastEvents.get(random.nextInt(pastEvents.size()));
        if (callInProgress == null || event.callId() != callInProgress.callId()) {
            execute(view.on(nowMicros, event));
        }
        pastEvents.subList(0, Math.max(0, pastEvents.size() - MAX_PAST_EVENTS)).clear();
    }

    private void execute(ViewStep step) {
        step.calls().forEach(this::execute);
        step.updates().forEach(mirror::apply);
        if (mirror.isComplete()) {
            assertMirrorIsOneRevision();
        }
    }

    private void execute(RegistryCall call) {
        if (call instanceof RegistryCall.Request request) {
            assertNull(callInProgress, "a second call while one is in progress, seed " + seed);
            callInProgress = request;
            servers.beginCall();
        } else if (call instanceof RegistryCall.RequestProgress) {
            servers.requestProgress(call.callId());
        } else if (callInProgress != null && callInProgress.callId() == call.callId()) {
            callInProgress = null;
        }
    }

    private ViewMetrics metrics() {
        return view.metrics(nowMicros);
    }

    private void assertMirrorIsOneRevision() {
        long revision = metrics().revision();
        boolean matches = revision <= model.revision && mirror.matches(model.at(revision));
        // Entries read before a restore are reported until the view detects the restore.
        matches = matches
                || modelsBeforeRestore.stream()
                        .anyMatch(before -> revision <= before.revision && mirror.matches(before.at(revision)));
        assertTrue(
                matches,
                () -> "the reported hosts match no revision: " + mirror + " at " + revision + ", registry "
                        + ViewMirror.describe(model.at(Math.min(revision, model.revision))) + ", seed " + seed);
    }

    /** Ends the failures, except those of one silent and one lagging server, and waits until the view matches. */
    private void settle() {
        servers.settle();
        long deadline = nowMicros + SETTLE_MICROS;
        while (!isSettled() && nowMicros < deadline) {
            for (int i = 0; i < 8; i++) {
                deliverNextEvent();
            }
            passTime(10_000);
        }
        assertTrue(
                isSettled(),
                () -> "the view does not match the registry in time: " + mirror + " at " + metrics() + ", registry at "
                        + model.revision + ": " + ViewMirror.describe(model.now()) + ", call " + callInProgress
                        + ", seed " + seed);
        long hosts = metrics().hosts() + mirror.countMissing(model.now());
        assertEquals(model.now().size(), hosts, "seed " + seed);
        modelsBeforeRestore.clear();
    }

    private boolean isSettled() {
        return mirror.isComplete()
                && metrics().revision() == model.revision
                && metrics().clusterId() == (watched ? model.cluster : 0)
                && mirror.matches(model.now());
    }
}
