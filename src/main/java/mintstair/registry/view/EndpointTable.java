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
 * The registry's entries as last read: each host with its last valid value, and the settings. Turns changes, or a read
 * of all entries, into updates; what has not changed is not reported again. Bounded by {@link ViewLimits}. Not
 * thread-safe.
 */
final class EndpointTable {
    /**
     * A host that is in the registry.
     *
     * @param valueHash the hash of the newest value
     * @param value the last valid value; null, like {@code host}, where none has been valid
     */
    private record Row(long createRevision, long modRevision, int valueHash, byte[] value, EndpointList.Entry host) {
        /** The row of an entry with a valid value. */
        static Row valid(RegistryEntry entry, int valueHash, EndpointList.Entry host) {
            return new Row(entry.createRevision(), entry.modRevision(), valueHash, entry.value(), host);
        }

        /** The row of an entry whose value is not valid: keeps what the previous row has, if there is one. */
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

    /** An odd number without a pattern. The digest is a sum, in which small hashes must not cancel out. */
    private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int MAX_LOGGED_KEY_LENGTH = 80;

    private final RegistryKeys keys;
    private final ViewLimits limits;
    private final HostEntryParser parser;
    private final Map<String, Row> rows = new TreeMap<>();
    private final LogRateLimiter faultLog = new LogRateLimiter();
    private RegistryEntry settings;
    private long bytes;
    private long digest;
    private int hosts;
    private long unreadable;
    private long overflown;

    EndpointTable(RegistryKeys keys, ViewLimits limits) {
        this.keys = keys;
        this.limits = limits;
        parser = new HostEntryParser(keys, limits);
    }

    /** Applies the changes in order and emits what they come to at {@code revision}. */
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
     * Replaces all entries by these and emits the difference.
     *
     * @param sameHistory whether revisions can be compared with those before; otherwise the values are
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
            // Deleted and put again since the last look: another incarnation of the host.
            delete(entry.key(), batch);
            previous = null;
        }
        int valueHash = Arrays.hashCode(entry.value());
        if (previous != null && sameHistory && previous.isAt(entry.modRevision(), valueHash)) {
            return;
        }
        if (previous == null && isFull(entry)) {
            overflown++;
            faultLog.log(nowMicros, "registry: no room for " + loggable(entry.key()), updates);
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
            logUnreadable(entry, "too long", nowMicros, updates);
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

    /** Adds a row to the totals, or removes it with {@code sign} -1. */
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

    /** The host that the entry holds, or null where it holds none that is valid. */
    private EndpointList.Entry parse(RegistryEntry entry, String front, long nowMicros, Consumer<ViewUpdate> updates) {
        try {
            return parser.parse(entry, front);
        } catch (InvalidEntryException e) {
            logUnreadable(entry, e.getMessage(), nowMicros, updates);
            return null;
        }
    }

    private void logUnreadable(RegistryEntry entry, String reason, long nowMicros, Consumer<ViewUpdate> updates) {
        unreadable++;
        String line = "registry: " + loggable(entry.key()) + " at " + entry.modRevision() + ": " + reason;
        faultLog.log(nowMicros, line, updates);
    }

    private static String loggable(String key) {
        String text = RegistryKeys.charactersOf(key);
        String shortened =
                text.length() > MAX_LOGGED_KEY_LENGTH ? text.substring(0, MAX_LOGGED_KEY_LENGTH) + "..." : text;
        return shortened.replaceAll("\\p{Cntrl}", "?");
    }

    /** Emits the whole list of every front. */
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

    /** The entries to store over a restart: each host with its last valid value, and the settings. */
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

    /** Counts hosts that were left out of a read because of the limits. */
    void countOverflown(int entries) {
        overflown += entries;
    }

    int hosts() {
        return hosts;
    }

    /** Equal for equal hosts of all fronts, whatever the order of the changes that led there. */
    long digest() {
        return digest;
    }

    /** How many values that were put could not be read. */
    long unreadable() {
        return unreadable;
    }

    /** How many hosts were left out because of the limits. */
    long overflown() {
        return overflown;
    }

    /** Logs the number of suppressed lines; due at {@link #nextFlushAt}. */
    void flushLog(long nowMicros, Consumer<ViewUpdate> updates) {
        faultLog.flush(nowMicros, updates);
    }

    long nextFlushAt() {
        return faultLog.nextFlushAt();
    }
}
