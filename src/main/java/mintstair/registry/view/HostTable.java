package mintstair.registry.view;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import mintstair.config.Json;
import mintstair.config.ListReader;
import mintstair.request.EndpointList;

/**
 * The registry's entries as last read: each host with its last valid entry, and the settings. It turns puts and deletions, or a
 * whole reading, into the changes to be told; what is told already is not told again. Bounded by {@link Limits}.
 */
final class HostTable {
    /**
     * A host's life under its key; {@code hash} is of the newest value, {@code value} the last valid one, null with {@code entry}
     * where none ever was.
     */
    private record Row(long created, long modified, int hash, byte[] value, EndpointList.Entry entry) {}

    /** An odd number without pattern: a digest is a sum, in which equal small hashes must not cancel out. */
    private static final long SPREAD = 0x9E3779B97F4A7C15L;

    private final Names names;
    private final Limits limits;
    private final Map<String, Row> rows = new TreeMap<>();
    private final FaultLines faults = new FaultLines();
    private Item settings;
    private boolean comparable = true;
    private long bytes;
    /** Puts that could not be read, and puts of new hosts for which there was no room. */
    long unreadable;

    long overflown;
    /** The same for the same entries of all fronts, whatever way they came. */
    long digest;

    int hosts;

    HostTable(Names names, Limits limits) {
        this.names = names;
        this.limits = limits;
    }

    /** Takes the changes in, in their order, and tells what they come to at {@code revision}. */
    void apply(List<Change> changes, long revision, long now, Consumer<ViewUpdate> out) {
        HostSteps steps = new HostSteps();
        for (Change change : changes) {
            if (change.deleted()) {
                delete(change.item().key(), steps);
            } else {
                put(change.item(), steps, now, out);
            }
        }
        steps.tell(revision, out);
    }

    /**
     * Goes over to exactly these items: what is missing among them is deleted, what changed is told, all else is not. Where they
     * are of another history than those before, revisions say nothing: the values are compared.
     */
    void replace(Collection<Item> items, long revision, boolean sameHistory, long now, Consumer<ViewUpdate> out) {
        HostSteps steps = new HostSteps();
        comparable = sameHistory;
        Map<String, Item> present = new HashMap<>();
        items.forEach(item -> present.put(item.key(), item));
        for (String key : List.copyOf(rows.keySet())) {
            if (!present.containsKey(key)) {
                delete(key, steps);
            }
        }
        items.forEach(item -> put(item, steps, now, out));
        comparable = true;
        steps.tell(revision, out);
    }

    private void put(Item item, HostSteps steps, long now, Consumer<ViewUpdate> out) {
        if (names.isSettings(item.key())) {
            putSettings(item, now, out);
            return;
        }
        String front = names.front(item.key());
        if (front == null) {
            return;
        }
        Row before = rows.get(item.key());
        if (before != null && comparable && before.created != item.created()) {
            // Deleted and put again between two looks: what is there now is another life of it.
            delete(item.key(), steps);
            before = null;
        }
        int hash = Arrays.hashCode(item.value());
        if (before != null && comparable && before.modified == item.modified() && before.hash == hash) {
            return;
        }
        if (before == null && isFull(item)) {
            overflown++;
            faults.note(now, "registry: no room for " + shown(item.key()), out);
            return;
        }
        EndpointList.Entry entry = entry(item, front, now, out);
        Row row = entry != null
                ? new Row(item.created(), item.modified(), hash, item.value(), entry)
                : new Row(
                        item.created(),
                        item.modified(),
                        hash,
                        before == null ? null : before.value,
                        before == null ? null : before.entry);
        keep(item.key(), before, -1);
        keep(item.key(), row, 1);
        rows.put(item.key(), row);
        if (entry != null && (before == null || !entry.equals(before.entry))) {
            steps.add(front, entry, before == null || before.entry == null);
        }
    }

    private void putSettings(Item item, long now, Consumer<ViewUpdate> out) {
        if (item.value().length > limits.settingsBytes()) {
            unreadable++;
            faults.note(now, "registry: " + shown(item.key()) + " at " + item.modified() + ": too long", out);
        } else {
            boolean same = settings != null && Arrays.equals(settings.value(), item.value());
            settings = item;
            if (!same) {
                out.accept(new ViewUpdate.Settings(item.value(), item.modified()));
            }
        }
    }

    private void delete(String key, HostSteps steps) {
        Row row = rows.remove(key);
        if (row == null) {
            return;
        }
        keep(key, row, -1);
        if (row.entry != null) {
            EndpointList.Entry e = row.entry;
            steps.add(
                    names.front(key),
                    new EndpointList.Entry(
                            e.host(),
                            e.endpoint(),
                            e.zone(),
                            e.cluster(),
                            EndpointList.State.REMOVED,
                            e.primary(),
                            e.size(),
                            e.started()),
                    false);
        }
    }

    private boolean isFull(Item item) {
        return rows.size() >= limits.hosts() || bytes + item.key().length() + item.value().length > limits.allBytes();
    }

    /** Counts a row in, or out. */
    private void keep(String key, Row row, int times) {
        if (row == null) {
            return;
        }
        bytes += (long) times * (key.length() + (row.value == null ? 0 : row.value.length));
        if (row.entry != null) {
            hosts += times;
            EndpointList.Entry e = row.entry;
            long hash = Objects.hash(
                    key, e.endpoint(), e.zone(), e.cluster(), e.state().name(), e.primary(), e.size(), e.started());
            digest += times * (hash * SPREAD ^ hash);
        }
    }

    /** The entry that the item holds, or null, with a line, where it holds none. */
    private EndpointList.Entry entry(Item item, String front, long now, Consumer<ViewUpdate> out) {
        String fault;
        if (item.key().length() > limits.keyBytes() || item.value().length > limits.valueBytes()) {
            fault = "too long";
        } else {
            try {
                if (!(Json.read(item.value()) instanceof Map<?, ?> map)) {
                    throw new IllegalArgumentException("not an object");
                }
                EndpointList.Entry entry = ListReader.entry(map);
                if (!entry.host().equals(names.uid(item.key(), front))) {
                    throw new IllegalArgumentException("its uid is " + entry.host());
                }
                if (entry.state() == EndpointList.State.REMOVED) {
                    throw new IllegalArgumentException("a host is deleted by deleting its key");
                }
                return entry;
            } catch (IOException | IllegalArgumentException e) {
                fault = String.valueOf(e.getMessage()).split("\n")[0];
            }
        }
        unreadable++;
        faults.note(now, "registry: " + shown(item.key()) + " at " + item.modified() + ": " + fault, out);
        return null;
    }

    private static String shown(String key) {
        String text = new String(key.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
        return (text.length() > 80 ? text.substring(0, 80) + "..." : text).replaceAll("\\p{Cntrl}", "?");
    }

    /** Tells every front the whole of its list. */
    void tellWhole(long revision, boolean old, Consumer<ViewUpdate> out) {
        for (String front : names.fronts()) {
            out.accept(new ViewUpdate.Endpoints(front, new EndpointList(revision, true, entries(front)), old));
        }
    }

    List<EndpointList.Entry> entries(String front) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        rows.forEach((key, row) -> {
            if (row.entry != null && front.equals(names.front(key))) {
                entries.add(row.entry);
            }
        });
        return entries;
    }

    /** What is worth keeping over a restart: each host with its last valid value, and the settings. */
    List<Item> items() {
        List<Item> items = new ArrayList<>();
        rows.forEach((key, row) -> {
            if (row.entry != null) {
                items.add(new Item(key, row.value, row.created, row.modified));
            }
        });
        if (settings != null) {
            items.add(settings);
        }
        return items;
    }

    /** Says what was left out of the log; see {@link #wakeAt}. */
    void flush(long now, Consumer<ViewUpdate> out) {
        faults.flush(now, out);
    }

    long wakeAt() {
        return faults.wakeAt();
    }
}
