package mintstair.registry.view;

import java.util.ArrayList;
import java.util.List;

/**
 * Follows a registry that keeps revisions and streams changes from one of them on: a whole reading pinned to one revision, then
 * the watch from exactly the next. After a break the watch goes on from the next revision not yet taken in; only where that is
 * compacted away, or the history is another one, all is read anew, and until that is whole the old entries stand.
 *
 * <p>The order of the promises that it relies on: a read with the majority's agreement never shows less than an earlier one
 * did, so one that does tells of a history that was set back; a batch holds whole revisions unless marked as a fragment; the
 * header of a progress message means that nothing is missing up to its revision.
 *
 * <p>A watch that stands still may be quiet, dead, or of a member that has fallen behind. So it is asked for a sign of life again
 * and again: where the majority stands, and that the watch has come as far.
 */
public final class WatchView extends RegistryView {
    private static final int PAGE = 500;
    private static final int MOST_PAGE = 16_000;
    /** A watch that has missed much may take this many times the usual patience to come up to the majority. */
    private static final int CATCHING_UP = 3;

    private enum Phase {
        IDLE,
        READING,
        CHECKING,
        WATCHING
    }

    private Phase phase = Phase.IDLE;
    private boolean readAnew;
    private int page = PAGE;
    private Reading reading;
    /** Changes of revisions that are not whole yet. */
    private final List<Change> fragments = new ArrayList<>();

    private long fragmentBytes;
    /** When the open watch was asked for a sign of life, -1 while it is not; where the majority stood then, -1 until that is told. */
    private long askedAt = -1;

    private long need = -1;
    private long revisionAsked;
    private boolean heardSinceAsked;
    /** The watch has begun. */
    private boolean begun;

    public WatchView(Names names, Limits limits, Times times, int endpoints, long seed) {
        super(names, limits, times, endpoints, seed);
    }

    @Override
    protected void connect() {
        if (revision < 0 || readAnew) {
            read();
        } else {
            watch();
        }
    }

    private void read() {
        if (reading == null) {
            reading = new Reading(limits, names.prefix());
        }
        phase = Phase.READING;
        order(new Order.Read(
                call(times.call()),
                endpoints.current(),
                reading.from,
                reading.pin == null ? 0 : reading.pin.revision(),
                page));
    }

    private void watch() {
        phase = Phase.WATCHING;
        askedAt = -1;
        begun = false;
        order(new Order.Watch(call(times.call()), endpoints.current(), revision + 1));
    }

    /** Where a member's own word contradicts what is known, the majority is asked which of both is out of date. */
    private void check() {
        phase = Phase.CHECKING;
        order(new Order.Check(call(times.call()), endpoints.current()));
    }

    @Override
    protected void handle(Event event) {
        if (event instanceof Event.Page e && phase == Phase.READING) {
            onPage(e);
        } else if (event instanceof Event.Compacted) {
            onCompacted();
        } else if (event instanceof Event.Checked e && phase == Phase.CHECKING) {
            onChecked(e.header());
        } else if (phase == Phase.WATCHING && event instanceof Event.Watching e) {
            onWatching(e.header());
        } else if (phase == Phase.WATCHING && event instanceof Event.Batch e) {
            onBatch(e);
        } else if (phase == Phase.WATCHING && event instanceof Event.Progress e) {
            onProgress(e.header());
        } else if (phase == Phase.WATCHING && event instanceof Event.Reached e) {
            onReached(e.header());
        } else {
            breakOff(Event.Reason.MALFORMED, "an answer that nobody asked for");
        }
    }

    private void onPage(Event.Page e) {
        if (!belongs(e.header())) {
            return;
        }
        if (reading.pin == null) {
            reading.pin = e.header();
        } else if (reading.pin.cluster() != e.header().cluster()
                || e.header().term() < reading.pin.term()
                || e.header().revision() < reading.pin.revision()) {
            // The pages so far are of another history.
            reading = null;
            read();
            return;
        }
        reading.add(e.items());
        if (!e.more()) {
            finishReading();
        } else if (e.items().isEmpty()) {
            breakOff(Event.Reason.MALFORMED, "an empty page that is not the last");
        } else {
            read();
        }
    }

    private void finishReading() {
        Header pin = reading.pin;
        boolean another = revision >= 0 && pin.cluster() != cluster;
        boolean back = revision >= 0 && setBack(pin);
        if (back) {
            count("set_back");
            say("its history was set back from revision " + revision + " to " + pin.revision());
        }
        if (another) {
            count("replaced");
            say("it is another one: cluster id " + Long.toUnsignedString(pin.cluster(), 16));
        }
        table.overflown += reading.leftOut;
        table.replace(reading.items(), pin.revision(), !another && !back, now, teller());
        cluster = pin.cluster();
        revision = pin.revision();
        term = pin.term();
        readAnew = false;
        reading = null;
        page = PAGE;
        count("readings");
        fresh();
        watch();
    }

    /** Whether a header that the majority stands behind shows less than is known already. */
    private boolean setBack(Header header) {
        return header.cluster() == cluster && (header.revision() < revision || header.term() < term);
    }

    private void onCompacted() {
        if (phase == Phase.READING) {
            // The pin went away under the reading: larger pages make it faster than the compaction.
            count("compacted_while_reading");
            reading = null;
            page = Math.min(MOST_PAGE, page * 2);
            breakOff(Event.Reason.CANCELLED, "compacted while it was read");
        } else {
            count("compacted");
            forgetFragments();
            startAnew();
        }
    }

    /** What is known can't be continued: it stands until a whole reading takes its place. */
    private void startAnew() {
        readAnew = true;
        reading = null;
        read();
    }

    private void onChecked(Header header) {
        if (!belongs(header)) {
            return;
        }
        if (header.cluster() != cluster || setBack(header)) {
            startAnew();
        } else {
            term = header.term();
            breakOff(Event.Reason.LAGS, "it is behind revision " + revision);
        }
    }

    private void onWatching(Header header) {
        if (!belongs(header)) {
            return;
        }
        if (header.cluster() != cluster) {
            startAnew();
        } else if (header.revision() < revision || header.term() < term) {
            check();
        } else {
            begun = true;
            askForSign();
        }
    }

    private void onBatch(Event.Batch e) {
        if (e.header().cluster() != cluster) {
            startAnewIfItBelongs(e.header());
            return;
        }
        heardSinceAsked = true;
        for (Change change : e.changes()) {
            fragments.add(change);
            fragmentBytes += change.item().key().length() + change.item().value().length;
        }
        if (fragmentBytes > limits.batchBytes()) {
            count("transactions_given_up");
            forgetFragments();
            startAnew();
        } else if (!e.fragment()) {
            takeIn();
        }
    }

    /** All messages of these revisions are here. */
    private void takeIn() {
        List<Change> changes = new ArrayList<>(fragments.size());
        long newest = revision;
        for (Change change : fragments) {
            long at = change.item().modified();
            if (at <= revision) {
                count("repeated");
            } else if (at < newest) {
                forgetFragments();
                breakOff(Event.Reason.MALFORMED, "changes out of order");
                return;
            } else {
                newest = at;
                changes.add(change);
            }
        }
        forgetFragments();
        revision = newest;
        count("batches");
        table.apply(changes, revision, now, teller());
        maybeSigned();
    }

    private void onProgress(Header header) {
        if (header.cluster() != cluster) {
            startAnewIfItBelongs(header);
            return;
        }
        heardSinceAsked = true;
        if (!fragments.isEmpty()) {
            return;
        }
        if (header.revision() < revision) {
            check();
        } else {
            revision = header.revision();
            maybeSigned();
        }
    }

    private void onReached(Header header) {
        if (header.cluster() != cluster) {
            startAnewIfItBelongs(header);
        } else if (setBack(header)) {
            forgetFragments();
            startAnew();
        } else {
            term = header.term();
            need = header.revision();
            maybeSigned();
        }
    }

    private void startAnewIfItBelongs(Header header) {
        forgetFragments();
        if (belongs(header)) {
            startAnew();
        }
    }

    /** The sign is complete once the view has come to where the majority stood when it was asked for. */
    private void maybeSigned() {
        if (askedAt >= 0 && need >= 0 && revision >= need) {
            askedAt = -1;
            waitUntil(now + times.silence());
            well();
            fresh();
        }
    }

    private void askForSign() {
        askedAt = now;
        need = -1;
        revisionAsked = revision;
        heardSinceAsked = false;
        order(new Order.AskProgress(call()));
        waitUntil(now + times.patience());
    }

    @Override
    protected void quiet() {
        if (phase != Phase.WATCHING || !begun) {
            super.quiet();
        } else if (askedAt < 0) {
            askForSign();
        } else if (need >= 0 && revision > revisionAsked && now < askedAt + CATCHING_UP * times.patience()) {
            // It comes nearer: much may have been missed.
            revisionAsked = revision;
            waitUntil(now + times.patience() / 2);
        } else if (heardSinceAsked || need >= 0) {
            breakOff(Event.Reason.LAGS, "it stays behind revision " + need);
        } else {
            super.quiet();
        }
    }

    @Override
    protected void dropped(Event.Reason reason) {
        if (phase == Phase.READING && (reason == Event.Reason.MALFORMED || reason == Event.Reason.LAGS)) {
            // A pin that even the majority has not reached is of a history that was set back meanwhile.
            reading = null;
        }
        phase = Phase.IDLE;
        forgetFragments();
    }

    private void forgetFragments() {
        fragments.clear();
        fragmentBytes = 0;
    }
}
