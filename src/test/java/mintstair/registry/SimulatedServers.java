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

/** Simulated registry servers, each of which may lag or be silent; generates the events of the call in progress. */
final class SimulatedServers {
    private static final long UP_TO_DATE = -1;
    private static final long NO_CALL = 0;

    private final RegistryModel model;
    private final Random random;
    /** By server, the revision that it does not get beyond, or {@link #UP_TO_DATE}. */
    private final long[] lagRevisions;

    private final boolean[] silent;

    /** The state of the watch in progress: whether it was created, the last revision and the fragments to send. */
    private boolean watchCreated;

    private long sentUpTo;
    private List<EntryChange> remainingFragments = List.of();

    private long progressRequestedFor = NO_CALL;
    private boolean quorumSent;

    SimulatedServers(int count, RegistryModel model, Random random) {
        this.model = model;
        this.random = random;
        lagRevisions = new long[count];
        silent = new boolean[count];
        endLag();
    }

    /** Makes all servers up to date. */
    void endLag() {
        Arrays.fill(lagRevisions, UP_TO_DATE);
    }

    /** Makes a random server up to date, or lag at one of the last revisions. */
    void changeLag() {
        int server = random.nextInt(lagRevisions.length);
        lagRevisions[server] = random.nextBoolean() ? UP_TO_DATE : Math.max(1, model.revision - random.nextInt(5));
    }

    /** Makes a random server silent or responsive. */
    void changeSilence() {
        int server = random.nextInt(silent.length);
        silent[server] = random.nextInt(3) == 0;
    }

    /** Ends the failures of one random server; of the others, one may be silent and one may lag. */
    void settle() {
        int healthy = random.nextInt(lagRevisions.length);
        for (int server = 0; server < lagRevisions.length; server++) {
            silent[server] = server == (healthy + 1) % lagRevisions.length && random.nextBoolean();
            boolean lags = server == (healthy + 2) % lagRevisions.length && random.nextBoolean();
            lagRevisions[server] = lags ? Math.max(1, model.revision - 2) : UP_TO_DATE;
        }
    }

    /** Resets the state of the watch for a new call. */
    void beginCall() {
        watchCreated = false;
        remainingFragments = List.of();
    }

    /** Requests progress of the call in progress, as {@link RegistryCall.RequestProgress} does. */
    void requestProgress(long callId) {
        progressRequestedFor = callId;
        quorumSent = false;
    }

    /** Returns whether the call ends with this event. */
    static boolean endsCall(RegistryEvent event, RegistryCall.Request call) {
        return !(call instanceof RegistryCall.Watch || event instanceof RegistryEvent.Progress)
                || event instanceof RegistryEvent.Compacted;
    }

    /** Returns the next event of the call, or null if its server has none or is silent. */
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

    private long reachedRevision(int server) {
        return lagRevisions[server] < 0 ? model.revision : Math.min(lagRevisions[server], model.revision);
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
        long reachedRevision = reachedRevision(watch.server());
        if (!watchCreated) {
            return createWatch(watch, reachedRevision);
        }
        if (!remainingFragments.isEmpty()) {
            List<EntryChange> fragment = remainingFragments.subList(0, 1);
            remainingFragments = remainingFragments.subList(1, remainingFragments.size());
            return new RegistryEvent.Changes(
                    watch.callId(), position(reachedRevision), fragment, !remainingFragments.isEmpty());
        }
        if (sentUpTo < reachedRevision) {
            return changes(watch, reachedRevision);
        }
        if (progressRequestedFor != watch.callId()) {
            return null;
        }
        if (!quorumSent) {
            quorumSent = true;
            return new RegistryEvent.QuorumPosition(watch.callId(), position(model.revision));
        }
        progressRequestedFor = NO_CALL;
        return new RegistryEvent.Progress(watch.callId(), position(reachedRevision));
    }

    private RegistryEvent createWatch(RegistryCall.Watch watch, long reachedRevision) {
        watchCreated = true;
        sentUpTo = watch.startRevision() - 1;
        if (watch.startRevision() <= model.compacted && watch.startRevision() <= reachedRevision) {
            return new RegistryEvent.Compacted(watch.callId());
        }
        return new RegistryEvent.WatchCreated(watch.callId(), position(reachedRevision));
    }

    /** Returns one or several complete revisions, at random preceded by one already sent, or split into fragments. */
    private RegistryEvent changes(RegistryCall.Watch watch, long reachedRevision) {
        boolean repeat = sentUpTo > watch.startRevision() && random.nextInt(6) == 0;
        long from = repeat ? sentUpTo : sentUpTo + 1;
        sentUpTo = Math.min(reachedRevision, sentUpTo + 1 + random.nextInt(2));
        List<EntryChange> changes = new ArrayList<>();
        for (long revision = from; revision <= sentUpTo; revision++) {
            changes.addAll(model.changes(revision));
        }
        if (changes.size() > 1 && random.nextBoolean()) {
            remainingFragments = changes.subList(1, changes.size());
            return new RegistryEvent.Changes(watch.callId(), position(reachedRevision), changes.subList(0, 1), true);
        }
        return new RegistryEvent.Changes(watch.callId(), position(reachedRevision), changes, false);
    }

    private RegistryEvent pollEvent(RegistryCall.Poll poll) {
        boolean upToDate = lagRevisions[poll.server()] < 0;
        long reachedRevision = poll.consistent() ? model.revision : reachedRevision(poll.server());
        if (poll.index() == 0 || reachedRevision != poll.index()) {
            List<RegistryEntry> entries = List.copyOf(model.at(reachedRevision).values());
            return new RegistryEvent.FullList(poll.callId(), reachedRevision, entries, poll.consistent() || upToDate);
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
