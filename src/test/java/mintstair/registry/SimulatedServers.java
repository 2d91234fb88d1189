package mintstair.registry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import mintstair.registry.view.EntryChange;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.registry.view.RegistryPosition;
import mintstair.standin.RegistryModel;

/** The servers of a simulated registry, which may lag or be silent: event by event what the call in progress gets. */
final class SimulatedServers {
    private static final long UP_TO_DATE = -1;
    private static final long NO_CALL = 0;

    private final RegistryModel model;
    private final Random random;
    /** Per server the revision that it lags at, or {@link #UP_TO_DATE}. */
    private final long[] lag;

    private final boolean[] silent;

    /** The state of a watch: whether it was created, what was sent of the changes, and the fragments still to send. */
    private boolean watchCreated;

    private long sentUpTo;
    private List<EntryChange> remainingFragments = List.of();

    private long progressRequestedFor = NO_CALL;
    private boolean quorumSent;

    SimulatedServers(int count, RegistryModel model, Random random) {
        this.model = model;
        this.random = random;
        lag = new long[count];
        silent = new boolean[count];
        endLag();
    }

    void endLag() {
        Arrays.fill(lag, UP_TO_DATE);
    }

    void changeLag() {
        int server = random.nextInt(lag.length);
        lag[server] = random.nextBoolean() ? UP_TO_DATE : Math.max(1, model.revision - random.nextInt(5));
    }

    void changeSilence() {
        int server = random.nextInt(silent.length);
        silent[server] = random.nextInt(3) == 0;
    }

    /** One server is healthy; of the others one may be silent and one may lag. */
    void settle() {
        int healthy = random.nextInt(lag.length);
        for (int server = 0; server < lag.length; server++) {
            silent[server] = server == (healthy + 1) % lag.length && random.nextBoolean();
            boolean lags = server == (healthy + 2) % lag.length && random.nextBoolean();
            lag[server] = lags ? Math.max(1, model.revision - 2) : UP_TO_DATE;
        }
    }

    /** A new call is in progress. */
    void begin() {
        watchCreated = false;
        remainingFragments = List.of();
    }

    void requestProgress(long callId) {
        progressRequestedFor = callId;
        quorumSent = false;
    }

    /** Whether no further event of this call follows. */
    static boolean endsCall(RegistryEvent event, RegistryCall.Request call) {
        return !(call instanceof RegistryCall.Watch || event instanceof RegistryEvent.Progress)
                || event instanceof RegistryEvent.Compacted;
    }

    /** The next event of the call, or null where its server has none or is silent. */
    RegistryEvent nextEvent(RegistryCall.Request call) {
        if (silent[call.server()]) {
            return null;
        }
        if (call instanceof RegistryCall.Read read) {
            return page(read);
        } else if (call instanceof RegistryCall.ReadPosition) {
            return new RegistryEvent.PositionRead(call.callId(), position(model.revision));
        } else if (call instanceof RegistryCall.Watch watch) {
            return watchEvent(watch);
        }
        return pollEvent((RegistryCall.Poll) call);
    }

    private long reached(int server) {
        return lag[server] < 0 ? model.revision : Math.min(lag[server], model.revision);
    }

    private RegistryPosition position(long revision) {
        return new RegistryPosition(model.cluster, revision, model.term);
    }

    private RegistryEvent page(RegistryCall.Read read) {
        long revision = read.revision() == 0 ? model.revision : read.revision();
        if (revision <= model.compacted && revision < model.revision && read.revision() > 0) {
            return new RegistryEvent.Compacted(read.callId());
        }
        if (revision > model.revision) {
            return new RegistryEvent.CallFailed(read.callId(), Reason.LAGS, "a future revision");
        }
        List<RegistryEntry> entries =
                new ArrayList<>(model.at(revision).tailMap(read.fromKey()).values());
        int size = Math.min(entries.size(), 1 + random.nextInt(3));
        return new RegistryEvent.Page(
                read.callId(), position(model.revision), entries.subList(0, size), size < entries.size());
    }

    private RegistryEvent watchEvent(RegistryCall.Watch watch) {
        long reached = reached(watch.server());
        if (!watchCreated) {
            return createWatch(watch, reached);
        }
        if (!remainingFragments.isEmpty()) {
            List<EntryChange> fragment = remainingFragments.subList(0, 1);
            remainingFragments = remainingFragments.subList(1, remainingFragments.size());
            return new RegistryEvent.Changes(
                    watch.callId(), position(reached), fragment, !remainingFragments.isEmpty());
        }
        if (sentUpTo < reached) {
            return changes(watch, reached);
        }
        if (progressRequestedFor != watch.callId()) {
            return null;
        }
        if (!quorumSent) {
            quorumSent = true;
            return new RegistryEvent.QuorumPosition(watch.callId(), position(model.revision));
        }
        progressRequestedFor = NO_CALL;
        return new RegistryEvent.Progress(watch.callId(), position(reached));
    }

    private RegistryEvent createWatch(RegistryCall.Watch watch, long reached) {
        watchCreated = true;
        sentUpTo = watch.startRevision() - 1;
        if (watch.startRevision() <= model.compacted && watch.startRevision() <= reached) {
            return new RegistryEvent.Compacted(watch.callId());
        }
        return new RegistryEvent.WatchCreated(watch.callId(), position(reached));
    }

    /** Whole revisions, one or several, and now and then one that was sent before; sometimes in fragments. */
    private RegistryEvent changes(RegistryCall.Watch watch, long reached) {
        boolean repeat = sentUpTo > watch.startRevision() && random.nextInt(6) == 0;
        long from = repeat ? sentUpTo : sentUpTo + 1;
        sentUpTo = Math.min(reached, sentUpTo + 1 + random.nextInt(2));
        List<EntryChange> changes = new ArrayList<>();
        for (long revision = from; revision <= sentUpTo; revision++) {
            changes.addAll(model.changes(revision));
        }
        if (changes.size() > 1 && random.nextBoolean()) {
            remainingFragments = changes.subList(1, changes.size());
            return new RegistryEvent.Changes(watch.callId(), position(reached), changes.subList(0, 1), true);
        }
        return new RegistryEvent.Changes(watch.callId(), position(reached), changes, false);
    }

    private RegistryEvent pollEvent(RegistryCall.Poll poll) {
        boolean upToDate = lag[poll.server()] < 0;
        long reached = poll.consistent() ? model.revision : reached(poll.server());
        if (poll.index() == 0 || reached != poll.index()) {
            List<RegistryEntry> entries = List.copyOf(model.at(reached).values());
            return new RegistryEvent.FullList(poll.callId(), reached, entries, poll.consistent() || upToDate);
        }
        if (progressRequestedFor != poll.callId()) {
            return null;
        }
        progressRequestedFor = NO_CALL;
        if (upToDate) {
            return new RegistryEvent.Progress(poll.callId(), new RegistryPosition(0, 0, 0));
        }
        return new RegistryEvent.CallFailed(poll.callId(), Reason.NO_LEADER, "simulated");
    }
}
