package mintstair.registry.view;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import mintstair.request.EndpointList;

/**
 * Holds the registry's entries as last received: each host with its last valid value, and the settings. Converts
 * changes, or a read of all entries, into updates, and reports nothing that has not changed. Its size is bounded by
 * {@link ViewLimits}. Not thread-safe.
 */
final class EndpointTable {
    /**
     * The state of one host key of the registry.
     *
     * @param modRevision the revision of the newest value, valid or not
     * @param valueHash the hash of the newest value, valid or not
     * @param value the last valid value; null, like {@code host}, if no value has been valid
     */
    private record Row(long createRevision, long modRevision, int valueHash, byte[] value, EndpointList.Entry host) {
        /** Returns the row for an entry with a valid value. */
        static Row valid(RegistryEntry entry, int valueHash, EndpointList.Entry host) {
            return new Row(entry.createRevision(), entry.modRevision(), valueHash, entry.value(), host);
        }

        /** Returns the row for an entry with an invalid value, with the last valid value of the previous row if any. */
        static Row invalid(RegistryEntry entry, int valueHash, Row previous) {
            byte[] value = previous == null ? null : previous.value;
            EndpointList.Entry host = previous == null ? null : previous.host;
            return new Row(entry.createRevision(), entry.modRevision(), valueHash, value, host);
        }

        boolean isAt(long otherModRevision, int otherValueHash) {
            return modRevision == otherModRevision && valueHash == otherValueHash;
        }

        int valueBytes() {
            return value == null ? 0 : value.length;
        }
    }

    /** An odd number without a pattern. In the digest, which is a sum, small hashes could cancel each other out. */
    private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int MAX_LOGGED_KEY_LENGTH = 80;

    private final RegistryKeys keys;
    private final ViewLimits limits;
    private final HostEntryParser parser;
    private final Map<String, Row> rows = new TreeMap<>();
    private final LogRateLimiter entryLog = new LogRateLimiter();
    private RegistryEntry settings;
    private long bytes;
    private long digest;
    private int hosts;
    private long invalidCount;
    private long excludedCount;

    EndpointTable(RegistryKeys keys, ViewLimits limits) {
        this.keys = keys;
        this.limits = limits;
        parser = new HostEntryParser(keys, limits);
    }

    /** Applies the changes in order and emits their combined effect as updates at {@code revision}. */
    void apply(List<EntryChange> changes, long revision, long nowMicros, Consumer<ViewUpdate> updates) {
        EndpointChangeBatch batch = new EndpointChangeBatch();
        for (EntryChange change : changes) {
            if (change.deleted()) {
                delete(change.entry().key(), batch);
            } else {
                put(change.entry(), true, batch, nowMicros, updates);
            }
        }
        batch.emit(revision, updates);
    }

    /**
     * Replaces all entries by these and emits the difference. The settings stay if these entries contain none.
     *
     * @param sameHistory whether the entries belong to the history that the table was read from, so that revisions can
     *     be compared; if not, the values are compared
     */
    void replace(
            Collection<RegistryEntry> entries,
            long revision,
            boolean sameHistory,
            long nowMicros,
            Consumer<ViewUpdate> updates) {
        EndpointChangeBatch batch = new EndpointChangeBatch();
        Map<String, RegistryEntry> present = new HashMap<>();
        entries.forEach(entry -> present.put(entry.key(), entry));
        for (String key : List.copyOf(rows.keySet())) {
            if (!present.containsKey(key)) {
                delete(key, batch);
            }
        }
        entries.forEach(entry -> put(entry, sameHistory, batch, nowMicros, updates));
        batch.emit(revision, updates);
    }

    private void put(
            RegistryEntry entry,
            boolean sameHistory,
            EndpointChangeBatch batch,
            long nowMicros,
            Consumer<ViewUpdate> updates) {
        if (keys.isSettingsKey(entry.key())) {
            putSettings(entry, nowMicros, updates);
            return;
        }
        String front = keys.frontOf(entry.key());
        if (front == null) {
            return;
        }
        Row previous = rows.get(entry.key());
        if (previous != null && sameHistory && previous.createRevision != entry.createRevision()) {
            // The key was deleted and put again in between, so this is a new incarnation of the host.
            delete(entry.key(), batch);
            previous = null;
        }
        int valueHash = Arrays.hashCode(entry.value());
        if (previous != null && sameHistory && previous.isAt(entry.modRevision(), valueHash)) {
            return;
        }
        if (previous == null && isFull(entry)) {
            excludedCount++;
            String line = "registry: host left out beyond the limits of " + limits.maxHosts() + " hosts and "
                    + limits.maxTotalBytes() + " bytes: " + loggable(entry.key());
            entryLog.log(nowMicros, line, updates);
            return;
        }
        EndpointList.Entry host = parse(entry, front, nowMicros, updates);
        if (host == null) {
            replaceRow(entry.key(), previous, Row.invalid(entry, valueHash, previous));
            return;
        }
        replaceRow(entry.key(), previous, Row.valid(entry, valueHash, host));
        if (previous == null || !host.equals(previous.host)) {
            batch.add(front, host, previous == null || previous.host == null);
        }
    }

    private void replaceRow(String key, Row previous, Row row) {
        if (previous != null) {
            addToTotals(key, previous, -1);
        }
        addToTotals(key, row, 1);
        rows.put(key, row);
    }

    private void putSettings(RegistryEntry entry, long nowMicros, Consumer<ViewUpdate> updates) {
        if (entry.value().length > limits.maxSettingsBytes()) {
            String reason = "settings of " + entry.value().length + " bytes exceed the limit of "
                    + limits.maxSettingsBytes() + " bytes";
            logInvalid(entry, reason, nowMicros, updates);
            return;
        }
        boolean unchanged = settings != null && Arrays.equals(settings.value(), entry.value());
        settings = entry;
        if (!unchanged) {
            updates.accept(new ViewUpdate.Settings(entry.value(), entry.modRevision()));
        }
    }

    private void delete(String key, EndpointChangeBatch batch) {
        Row row = rows.remove(key);
        if (row == null) {
            return;
        }
        addToTotals(key, row, -1);
        if (row.host != null) {
            batch.add(keys.frontOf(key), removalOf(row.host), false);
        }
    }

    private static EndpointList.Entry removalOf(EndpointList.Entry host) {
        return new EndpointList.Entry(
                host.host(),
                host.endpoint(),
                host.zone(),
                host.cluster(),
                EndpointList.State.REMOVED,
                host.primary(),
                host.capacity(),
                host.startedAtMicros());
    }

    private boolean isFull(RegistryEntry entry) {
        return rows.size() >= limits.maxHosts() || bytes + entry.sizeBytes() > limits.maxTotalBytes();
    }

    /** Adds a row to the totals if {@code sign} is 1, or subtracts it if {@code sign} is -1. */
    private void addToTotals(String key, Row row, int sign) {
        bytes += (long) sign * (key.length() + row.valueBytes());
        if (row.host != null) {
            hosts += sign;
            digest += sign * digestOf(key, row.host);
        }
    }

    private static long digestOf(String key, EndpointList.Entry host) {
        long hash = Objects.hash(
                key,
                host.endpoint(),
                host.zone(),
                host.cluster(),
                host.state().name(),
                host.primary(),
                host.capacity(),
                host.startedAtMicros());
        return hash * DIGEST_MULTIPLIER ^ hash;
    }

    /** Returns the host that the entry describes; if the entry is invalid, logs why and returns null. */
    private EndpointList.Entry parse(RegistryEntry entry, String front, long nowMicros, Consumer<ViewUpdate> updates) {
        try {
            return parser.parse(entry, front);
        } catch (InvalidEntryException e) {
            logInvalid(entry, e.getMessage(), nowMicros, updates);
            return null;
        }
    }

    private void logInvalid(RegistryEntry entry, String reason, long nowMicros, Consumer<ViewUpdate> updates) {
        invalidCount++;
        String line = "registry: invalid entry " + loggable(entry.key()) + " at revision " + entry.modRevision() + ": "
                + reason;
        entryLog.log(nowMicros, line, updates);
    }

    private static String loggable(String key) {
        String text = RegistryKeys.decode(key);
        String shortened =
                text.length() > MAX_LOGGED_KEY_LENGTH ? text.substring(0, MAX_LOGGED_KEY_LENGTH) + "..." : text;
        return shortened.replaceAll("\\p{Cntrl}", "?");
    }

    /** Emits the complete endpoint list of every front. */
    void emitAll(long revision, boolean cached, Consumer<ViewUpdate> updates) {
        for (String front : keys.fronts()) {
            EndpointList list = new EndpointList(revision, true, hostsOf(front));
            updates.accept(new ViewUpdate.Endpoints(front, list, cached));
        }
    }

    private List<EndpointList.Entry> hostsOf(String front) {
        List<EndpointList.Entry> list = new ArrayList<>();
        rows.forEach((key, row) -> {
            if (row.host != null && front.equals(keys.frontOf(key))) {
                list.add(row.host);
            }
        });
        return list;
    }

    /** Returns the entries for a snapshot: each host with its last valid value, and the settings. */
    List<RegistryEntry> entries() {
        List<RegistryEntry> entries = new ArrayList<>();
        rows.forEach((key, row) -> {
            if (row.host != null) {
                entries.add(new RegistryEntry(key, row.value, row.createRevision, row.modRevision));
            }
        });
        if (settings != null) {
            entries.add(settings);
        }
        return entries;
    }

    /** Counts entries that were left out of a read because of the limits. */
    void countExcluded(int entries) {
        excludedCount += entries;
    }

    int hosts() {
        return hosts;
    }

    /** Returns a digest that is equal for equal hosts of all fronts, regardless of the order of changes. */
    long digest() {
        return digest;
    }

    /** Returns how many values were rejected as invalid. */
    long invalidCount() {
        return invalidCount;
    }

    /** Returns how many entries were left out because of the limits. */
    long excludedCount() {
        return excludedCount;
    }

    /** Logs the number of suppressed lines if it is due, see {@link #nextFlushAt}. */
    void flushLog(long nowMicros, Consumer<ViewUpdate> updates) {
        entryLog.flush(nowMicros, updates);
    }

    /** Returns when {@link #flushLog} is next due, or {@link Long#MAX_VALUE} if no line has been suppressed. */
    long nextFlushAt() {
        return entryLog.nextFlushAt();
    }
}
