package mintstair.registry.view;

/**
 * Follows a registry that answers blocking reads: each answer is the whole list at an index, and the next read waits for a newer
 * one. An index that goes back is a lagging member's, or the registry's was set back: a read that the majority stands behind
 * tells which. What vanished from one list to the next is told as deleted.
 *
 * <p>While a read waits, the endpoint is asked for signs of life beside it; a connection that died alone is found when the read
 * should have ended.
 */
public final class PollView extends RegistryView {
    /** A wait that the server may stretch by a sixteenth. */
    public static final long WAIT = 4_000_000;

    private boolean confirm;
    private boolean heardSinceBreak;
    private boolean askedProgress;
    private long endsAt;

    public PollView(Names names, Limits limits, Times times, int endpoints, long seed) {
        super(names, limits, times, endpoints, seed);
    }

    @Override
    protected void connect() {
        // The first answer of a connection comes at once: that it is there and leads is known, and a list set back is
        // seen.
        poll(heardSinceBreak ? revision : 0);
    }

    private void poll(long index) {
        askedProgress = false;
        endsAt = now + times.call() + (index > 0 ? WAIT + WAIT / 16 : 0);
        long number = call(index > 0 ? times.silence() : times.call());
        order(new Order.Poll(number, endpoints.current(), index, confirm));
    }

    @Override
    protected void handle(Event event) {
        if (event instanceof Event.Whole e) {
            onWhole(e);
        } else if (event instanceof Event.Progress) {
            askedProgress = false;
            fresh();
            waitUntil(Math.min(endsAt, now + times.silence()));
        } else {
            breakOff(Event.Reason.MALFORMED, "an answer that nobody asked for");
        }
    }

    private void onWhole(Event.Whole e) {
        if (e.index() < 1) {
            breakOff(Event.Reason.MALFORMED, "an index below 1");
            return;
        }
        boolean back = e.index() < revision;
        if (!e.sure()) {
            breakOff(Event.Reason.LAGS, "no leader stands behind its answer");
            return;
        }
        if (back && !confirm) {
            confirm = true;
            poll(0);
            return;
        }
        if (back) {
            count("set_back");
            say("its index was set back from " + revision + " to " + e.index());
        }
        confirm = false;
        Reading reading = new Reading(limits, "");
        reading.add(e.items());
        table.overflown += reading.leftOut;
        table.replace(reading.items(), e.index(), !back, now, teller());
        revision = e.index();
        count("readings");
        heardSinceBreak = true;
        well();
        fresh();
        poll(revision);
    }

    @Override
    protected void quiet() {
        if (now < endsAt && !askedProgress) {
            askedProgress = true;
            order(new Order.AskProgress(call()));
            waitUntil(Math.min(endsAt, now + times.patience()));
        } else {
            super.quiet();
        }
    }

    @Override
    protected void dropped(Event.Reason reason) {
        heardSinceBreak = false;
    }
}
