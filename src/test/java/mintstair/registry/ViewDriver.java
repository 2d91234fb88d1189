package mintstair.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import mintstair.registry.view.PollView;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryPosition;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Snapshot;
import mintstair.registry.view.ViewLimits;
import mintstair.registry.view.ViewMetrics;
import mintstair.registry.view.ViewStep;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import mintstair.registry.view.WatchView;
import mintstair.request.EndpointList;

/** Drives one view step by step in virtual time, in place of the connection, and records its updates. */
final class ViewDriver {
    static final ViewLimits SMALL_LIMITS = new ViewLimits(60, 200, 300, 5, 10_000, 2_000);
    static final int SERVERS = 3;
    private static final long CLUSTER_ID = 7;
    private static final long TERM = 3;

    long nowMicros = 1_000_000_000;
    final RegistryView view;
    final List<ViewUpdate> updates = new ArrayList<>();
    /** The calls of the last step, in order. */
    List<RegistryCall> calls = List.of();

    private ViewDriver(RegistryView view) {
        this.view = view;
    }

    static ViewDriver watching(ViewLimits limits) {
        return new ViewDriver(new WatchView(RegistryFixtures.KEYS, limits, ViewTimeouts.DEFAULT, SERVERS, 1));
    }

    static ViewDriver polling(ViewLimits limits) {
        return new ViewDriver(new PollView(RegistryFixtures.KEYS, limits, ViewTimeouts.DEFAULT, SERVERS, 1));
    }

    /** Returns a position in the history of the default cluster and term. */
    static RegistryPosition at(long revision) {
        return new RegistryPosition(CLUSTER_ID, revision, TERM);
    }

    void start(Snapshot snapshot) {
        apply(view.start(nowMicros, snapshot));
    }

    void on(RegistryEvent event) {
        apply(view.on(nowMicros, event));
    }

    void tick() {
        apply(view.tick(nowMicros));
    }

    private void apply(ViewStep step) {
        calls = step.calls();
        updates.addAll(step.updates());
    }

    RegistryCall lastCall() {
        return calls.get(calls.size() - 1);
    }

    long lastCallId() {
        return lastCall().callId();
    }

    /** Completes a read of these entries and a watch's first progress check; returns the call id of the watch. */
    long goLive(long revision, RegistryEntry... entries) {
        start(null);
        on(new RegistryEvent.Page(lastCallId(), at(revision), List.of(entries), false));
        long watch = lastCallId();
        on(new RegistryEvent.WatchCreated(watch, at(revision)));
        on(new RegistryEvent.QuorumPosition(watch, at(revision)));
        on(new RegistryEvent.Progress(watch, at(revision)));
        updates.clear();
        return watch;
    }

    /** Advances the time until the view makes a call other than a cancellation. Fails if there is none in 100 ticks. */
    RegistryCall awaitCall() {
        for (int i = 0; i < 100; i++) {
            nowMicros = Math.max(nowMicros, view.wakeAt());
            tick();
            if (!calls.isEmpty() && !(lastCall() instanceof RegistryCall.Cancel)) {
                return lastCall();
            }
        }
        throw new AssertionError("the view made no call in 100 ticks");
    }

    Stream<ViewUpdate.Endpoints> endpointUpdates() {
        return updates.stream()
                .filter(update -> update instanceof ViewUpdate.Endpoints)
                .map(update -> (ViewUpdate.Endpoints) update);
    }

    /** Returns the recorded endpoint changes: "a=1" for version 1 of host a, "a-" for its removal. */
    String changes() {
        return endpointUpdates()
                .flatMap(update -> update.list().entries().stream())
                .map(ViewDriver::describe)
                .collect(Collectors.joining(" "));
    }

    private static String describe(EndpointList.Entry entry) {
        boolean removed = entry.state() == EndpointList.State.REMOVED;
        return entry.host() + (removed ? "-" : "=" + entry.startedAtMicros() / 1000);
    }

    ViewMetrics metrics() {
        return view.metrics(nowMicros);
    }

    long count(String metric) {
        return metrics().counts().getOrDefault(metric, 0L);
    }
}
