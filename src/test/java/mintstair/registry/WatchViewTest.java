package mintstair.registry;

import static mintstair.registry.RegistryFixtures.entry;
import static mintstair.registry.RegistryFixtures.host;
import static mintstair.registry.RegistryFixtures.hostJson;
import static mintstair.registry.RegistryFixtures.hostKey;
import static mintstair.registry.ViewDriver.SMALL_LIMITS;
import static mintstair.registry.ViewDriver.at;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import mintstair.registry.view.EntryChange;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.registry.view.RegistryPosition;
import mintstair.registry.view.Snapshot;
import mintstair.registry.view.ViewLimits;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.ViewUpdate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a watched registry with failures, restores, lagging servers and invalid or oversized entries. */
class WatchViewTest {
    private static final String SETTINGS_KEY = "reg/settings";

    private final ViewDriver driver = ViewDriver.watching(SMALL_LIMITS);

    private static EntryChange put(RegistryEntry entry) {
        return new EntryChange(false, entry);
    }

    private static EntryChange deleted(String uid, long revision) {
        return new EntryChange(true, entry(hostKey(uid), "", 0, revision));
    }

    private void onChanges(long watch, long revision, EntryChange... changes) {
        driver.on(new RegistryEvent.Changes(watch, at(revision), List.of(changes), false));
    }

    private void onFragment(long watch, long revision, EntryChange... changes) {
        driver.on(new RegistryEvent.Changes(watch, at(revision), List.of(changes), true));
    }

    private void onLastPage(RegistryPosition position, RegistryEntry... entries) {
        driver.on(new RegistryEvent.Page(driver.lastCallId(), position, List.of(entries), false));
    }

    @Test
    void pagesAreReadAtTheRevisionOfTheFirstAndTheWatchStartsAtTheNextRevision() {
        driver.start(null);
        assertEquals(0, ((RegistryCall.Read) driver.calls.get(0)).revision());

        driver.on(new RegistryEvent.Page(driver.lastCallId(), at(40), List.of(host("a", 1, 5, 5)), true));
        RegistryCall.Read second = (RegistryCall.Read) driver.calls.get(1);
        assertEquals(40, second.revision());
        assertEquals("reg/postgresql/hosts/a\0", second.fromKey());

        onLastPage(at(44), host("b", 2, 6, 6));
        assertEquals(41, ((RegistryCall.Watch) driver.calls.get(1)).startRevision());
        assertEquals("a=1 b=2", driver.changes());
    }

    /** Guards against default limits that are too low for large fleets. */
    @Test
    void defaultLimitsAllowAThousandHosts() {
        ViewDriver large = ViewDriver.watching(ViewLimits.DEFAULT);
        large.start(null);
        for (int page = 0; page < 3; page++) {
            List<RegistryEntry> entries = IntStream.range(500 * page, Math.min(1_024, 500 * (page + 1)))
                    .mapToObj(i -> host(String.format("h%04d", i), 1, 5, 5))
                    .toList();
            large.on(new RegistryEvent.Page(large.lastCallId(), at(40), entries, page < 2));
        }
        int reported = large.endpointUpdates()
                .mapToInt(update -> update.list().entries().size())
                .sum();
        assertEquals(1_024, reported);

        large.updates.clear();
        long watch = large.lastCallId();
        large.on(new RegistryEvent.WatchCreated(watch, at(40)));
        large.on(new RegistryEvent.Changes(watch, at(41), List.of(deleted("h1023", 41)), false));
        assertEquals("h1023-", large.changes());
    }

    @Test
    void compactedRevisionLeadsToAFullReadThatRemovesMissingHosts() {
        long watch = driver.goLive(10, host("a", 1, 5, 5), host("b", 2, 6, 6));

        driver.on(new RegistryEvent.Compacted(watch));
        assertInstanceOf(RegistryCall.Read.class, driver.lastCall());
        assertEquals("", driver.changes(), "the old entries must remain until the read is complete");

        onLastPage(at(90), host("b", 3, 6, 70), host("c", 4, 80, 80));
        assertEquals("a- b=3 c=4", driver.changes());
    }

    @Test
    void hostThatWasDeletedAndPutAgainBeforeAFullReadIsRemovedFirst() {
        long watch = driver.goLive(10, host("a", 1, 5, 5));
        driver.on(new RegistryEvent.Compacted(watch));

        onLastPage(at(90), host("a", 1, 80, 80));

        assertEquals("a- a=1", driver.changes());
    }

    @Test
    void hostThatWasDeletedAndPutAgainWithinOneMessageIsReportedInTwoLists() {
        long watch = driver.goLive(90, host("a", 1, 80, 80));

        onChanges(watch, 92, deleted("a", 91), put(host("a", 1, 92, 92)));

        assertEquals("a- a=1", driver.changes());
        assertEquals(2, driver.updates.size(), "a list must not contain a host twice");
    }

    @Test
    void laggingServerIsReplacedAndTheViewKeepsItsRevision() {
        long watch = driver.goLive(50, host("a", 1, 5, 5));
        driver.on(new RegistryEvent.CallFailed(watch, Reason.BROKEN, "cut"));
        RegistryCall.Watch nextWatch = (RegistryCall.Watch) driver.awaitCall();

        driver.on(new RegistryEvent.WatchCreated(nextWatch.callId(), at(48)));
        assertInstanceOf(RegistryCall.ReadPosition.class, driver.lastCall());
        driver.on(new RegistryEvent.PositionRead(driver.lastCallId(), at(51)));

        assertEquals(1, driver.count("breaks_lags"));
        assertNotEquals(nextWatch.server(), ((RegistryCall.Watch) driver.awaitCall()).server());
        assertEquals(50, driver.metrics().revision());
        assertEquals("", driver.changes());
    }

    @Test
    void watchWhoseServerFallsBehindIsReplaced() {
        driver.goLive(50, host("a", 1, 5, 5));
        long watch = ((RegistryCall.RequestProgress) driver.awaitCall()).callId();

        driver.on(new RegistryEvent.QuorumPosition(watch, at(53)));
        driver.on(new RegistryEvent.Progress(watch, at(50)));

        assertInstanceOf(RegistryCall.Watch.class, driver.awaitCall());
        assertEquals(1, driver.count("breaks_lags"));
        assertTrue(
                driver.metrics().ageMicros() >= ViewTimeouts.DEFAULT.keepaliveTimeoutMicros(),
                "the messages of a lagging server must not confirm the view");
    }

    @ParameterizedTest
    @CsvSource({"30, 3", "70, 2"})
    void restoredRegistryIsReadAgain(long revision, long term) {
        RegistryPosition restored = new RegistryPosition(7, revision, term);
        long watch = driver.goLive(50, host("a", 1, 5, 5));
        driver.on(new RegistryEvent.CallFailed(watch, Reason.BROKEN, "restarted"));

        driver.on(new RegistryEvent.WatchCreated(driver.awaitCall().callId(), restored));
        driver.on(new RegistryEvent.PositionRead(driver.lastCallId(), restored));
        assertEquals("", driver.changes());

        onLastPage(restored, host("b", 2, 5, 5));
        assertEquals("a- b=2", driver.changes());
        assertEquals(1, driver.count("set_back"));
    }

    /** A host with the same value but other revisions in the new registry is not a new incarnation. */
    @Test
    void replacedRegistryIsReadOnceTheMajorityOfServersBelongsToTheNewOne() {
        RegistryPosition other = new RegistryPosition(8, 9, 1);
        long watch = driver.goLive(50, host("b", 2, 5, 5));
        driver.on(new RegistryEvent.CallFailed(watch, Reason.BROKEN, "replaced"));

        driver.on(new RegistryEvent.WatchCreated(driver.awaitCall().callId(), other));
        assertEquals(
                1, driver.count("breaks_foreign"), "a single server may be misconfigured and must not be followed");

        driver.on(new RegistryEvent.WatchCreated(driver.awaitCall().callId(), other));
        onLastPage(other, host("b", 2, 3, 3));
        assertEquals("", driver.changes());
        assertEquals(8, driver.metrics().clusterId());
        assertEquals(1, driver.count("replaced"));
    }

    @Test
    void fragmentsTakeEffectTogetherOrNotAtAll() {
        long watch = driver.goLive(10, host("a", 1, 5, 5));
        onFragment(watch, 11, deleted("a", 11));
        driver.on(new RegistryEvent.Progress(watch, at(11)));
        assertEquals("", driver.changes());

        driver.on(new RegistryEvent.CallFailed(watch, Reason.BROKEN, "between two fragments"));
        RegistryCall.Watch nextWatch = (RegistryCall.Watch) driver.awaitCall();
        assertEquals(11, nextWatch.startRevision());

        driver.on(new RegistryEvent.WatchCreated(nextWatch.callId(), at(11)));
        onFragment(nextWatch.callId(), 11, deleted("a", 11));
        onChanges(nextWatch.callId(), 11, put(host("b", 2, 11, 11)));
        assertEquals("a- b=2", driver.changes());
    }

    @Test
    void transactionBeyondItsLimitIsDropped() {
        long watch = driver.goLive(11, host("b", 2, 11, 11));

        for (int i = 0; i < 40; i++) {
            onFragment(watch, 12, put(host("b", 2, 11, 12)));
        }

        assertEquals(1, driver.count("transactions_given_up"));
    }

    @Test
    void watchWithoutChangesIsCheckedAndASilentOneIsReplacedInTime() {
        driver.goLive(10, host("a", 1, 5, 5));
        long lastChangeMicros = driver.nowMicros;
        long watch = ((RegistryCall.RequestProgress) driver.awaitCall()).callId();

        driver.on(new RegistryEvent.QuorumPosition(watch, at(10)));
        driver.on(new RegistryEvent.Progress(watch, at(10)));
        assertEquals(0, driver.count("breaks"), "a watch without changes must not be replaced");

        assertInstanceOf(RegistryCall.RequestProgress.class, driver.awaitCall());
        assertInstanceOf(RegistryCall.Watch.class, driver.awaitCall());
        assertEquals(1, driver.count("breaks_silent"));
        long elapsedMicros = driver.nowMicros - lastChangeMicros;
        assertTrue(elapsedMicros < 1_500_000, "replaced after " + elapsedMicros + " us");
    }

    @Test
    void invalidValueDoesNotReplaceTheLastValidOne() {
        long watch = driver.goLive(10, host("a", 1, 5, 5));

        onChanges(watch, 11, put(entry(hostKey("a"), "{\"uid\":", 5, 11)));
        onChanges(watch, 12, put(host("b", 2, 12, 12)));

        assertEquals("b=2", driver.changes());
        assertEquals(2, driver.metrics().hosts());
    }

    @Test
    void invalidValuesAreCountedWithoutFloodingTheLog() {
        long watch = driver.goLive(10, host("a", 1, 5, 5));
        onChanges(watch, 11, put(entry(hostKey("a"), "{\"uid\":", 5, 11)));
        driver.updates.clear();

        for (int i = 0; i < 10_000; i++) {
            driver.nowMicros += 50;
            onChanges(watch, 13 + i, put(entry(hostKey("a"), "bad" + i, 5, 13 + i)));
            driver.tick();
        }

        assertEquals(10_001, driver.count("unreadable"));
        long lines = driver.updates.stream()
                .filter(update -> update instanceof ViewUpdate.LogLine)
                .count();
        assertTrue(lines > 1 && lines <= 8, lines + " log lines in half a second");
        onChanges(watch, 20_000, put(host("a", 9, 5, 20_000)));
        assertTrue(driver.changes().endsWith("a=9"), driver.changes());
    }

    @Test
    void entriesBeyondTheLimitsAreLeftOutAndCounted() {
        long watch = driver.goLive(10, host("a", 1, 5, 5));

        onChanges(
                watch,
                13,
                put(host("x".repeat(60), 1, 11, 11)),
                put(entry(hostKey("b"), hostJson("b", 1) + " ".repeat(200), 12, 12)),
                put(entry(SETTINGS_KEY, " ".repeat(301), 13, 13)),
                put(entry(hostKey("wrong"), hostJson("other", 1), 13, 13)));
        assertEquals(4, driver.count("unreadable"));
        assertEquals("", driver.changes());

        EntryChange[] many = IntStream.range(0, 9)
                .mapToObj(i -> put(host("h" + i, i, 20, 20)))
                .toArray(EntryChange[]::new);
        onChanges(watch, 20, many);
        assertEquals(8, driver.count("overflown"), "hosts without a valid value count towards the limit too");
    }

    @Test
    void settingsAreReportedWhenTheyChangeAndNotWhenTheyAreDeleted() {
        long watch = driver.goLive(10);

        onChanges(watch, 11, put(entry(SETTINGS_KEY, "{\"x\":1}", 11, 11)));
        onChanges(watch, 12, put(entry(SETTINGS_KEY, "{\"x\":1}", 11, 12)));
        onChanges(watch, 13, new EntryChange(true, entry(SETTINGS_KEY, "", 0, 13)));

        List<ViewUpdate> settings = driver.updates.stream()
                .filter(update -> update instanceof ViewUpdate.Settings)
                .toList();
        assertEquals(1, settings.size());
        assertEquals(11, ((ViewUpdate.Settings) driver.updates.get(0)).revision());
    }

    @Test
    void snapshotIsReportedAtStartWithItsAgeAndContinuedWithoutAFullRead() {
        long confirmedAt = driver.nowMicros - 90_000_000;
        driver.start(new Snapshot("reg/", 7, 50, 3, confirmedAt, List.of(host("a", 1, 5, 5))));
        assertTrue(((ViewUpdate.Endpoints) driver.updates.get(0)).cached());
        assertEquals("a=1", driver.changes());
        assertEquals(90_000_000, driver.metrics().ageMicros());
        assertEquals(51, ((RegistryCall.Watch) driver.calls.get(0)).startRevision());

        driver.updates.clear();
        long watch = driver.lastCallId();
        driver.on(new RegistryEvent.WatchCreated(watch, at(60)));
        onChanges(watch, 60, deleted("a", 55), put(host("b", 2, 56, 56)));
        assertEquals("", driver.changes(), "no endpoints must be reported while the view catches up");

        driver.on(new RegistryEvent.QuorumPosition(watch, at(60)));
        driver.on(new RegistryEvent.Progress(watch, at(60)));
        assertEquals("b=2", driver.changes());
        assertFalse(((ViewUpdate.Endpoints) driver.updates.get(0)).cached());
        assertEquals(0, driver.metrics().ageMicros());
    }

    @Test
    void repeatedAndUnorderedChangesDoNotRevertTheView() {
        long watch = driver.goLive(10, host("a", 1, 5, 5));

        onChanges(watch, 12, put(host("a", 2, 5, 12)));
        onChanges(watch, 12, put(host("a", 0, 5, 11)));
        assertEquals("a=2", driver.changes());
        assertEquals(1, driver.count("repeated"));

        onChanges(watch, 20, put(host("a", 3, 5, 20)), put(host("a", 4, 5, 19)));
        assertEquals(1, driver.count("breaks_malformed"));
        assertEquals(12, driver.metrics().revision());
    }
}
