package mintstair.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mintstair.registry.view.EntryChange;
import mintstair.registry.view.RegistryEntry;

/**
 * The contents and history of a key-value registry: each transaction creates a revision, old revisions can be
 * compacted, and a restore replaces the history.
 */
public final class RegistryModel {
    public long cluster = 0xC1;
    public long term = 1_000;
    public long revision = 1;
    public long compacted;
    /** The changes of each revision, from 0; those of compacted revisions are kept, but not returned to clients. */
    private List<List<EntryChange>> history = new ArrayList<>(List.of(List.of(), List.of()));

    private TreeMap<String, RegistryEntry> now = new TreeMap<>();
    private long cachedAt = -1;
    private TreeMap<String, RegistryEntry> cached;

    /** Returns a copy of the current contents and history. */
    public synchronized RegistryModel copy() {
        RegistryModel copy = new RegistryModel();
        copy.history = new ArrayList<>(history);
        copy.now = new TreeMap<>(now);
        copy.revision = revision;
        return copy;
    }

    /** Applies one transaction and returns the revision after it; a null value deletes the key. */
    public synchronized long change(Map<String, String> values) {
        long at = revision + 1;
        List<EntryChange> changes = new ArrayList<>();
        values.forEach((key, value) -> {
            RegistryEntry before = now.get(key);
            if (value != null) {
                RegistryEntry item = new RegistryEntry(
                        key, value.getBytes(StandardCharsets.UTF_8), before == null ? at : before.createRevision(), at);
                now.put(key, item);
                changes.add(new EntryChange(false, item));
            } else if (before != null) {
                now.remove(key);
                changes.add(new EntryChange(true, new RegistryEntry(key, new byte[0], 0, at)));
            }
        });
        if (!changes.isEmpty()) {
            history.add(changes);
            revision = at;
            notifyAll();
        }
        return revision;
    }

    public long put(String key, String value) {
        return change(Map.of(key, value));
    }

    public long delete(String key) {
        Map<String, String> gone = new TreeMap<>();
        gone.put(key, null);
        return change(gone);
    }

    public synchronized void compact(long at) {
        compacted = Math.max(compacted, Math.min(at, revision));
    }

    /** Replaces the contents by those of an earlier revision, as a restore from a backup does. */
    public synchronized void restore(long at, long newCluster) {
        now = new TreeMap<>(at(at));
        history = new ArrayList<>(history.subList(0, (int) at + 1));
        revision = at;
        compacted = Math.min(compacted, at);
        cluster = newCluster;
        term -= 10;
        cachedAt = -1;
        notifyAll();
    }

    public synchronized TreeMap<String, RegistryEntry> now() {
        return new TreeMap<>(now);
    }

    /** Returns the contents at a revision. */
    public synchronized TreeMap<String, RegistryEntry> at(long at) {
        if (at == revision) {
            return now;
        }
        if (cachedAt != at) {
            cached = new TreeMap<>();
            for (int r = 0; r <= at; r++) {
                for (EntryChange c : history.get(r)) {
                    if (c.deleted()) {
                        cached.remove(c.entry().key());
                    } else {
                        cached.put(c.entry().key(), c.entry());
                    }
                }
            }
            cachedAt = at;
        }
        return cached;
    }

    /** Returns the changes of one revision. */
    public synchronized List<EntryChange> changes(long at) {
        return history.get((int) at);
    }
}
