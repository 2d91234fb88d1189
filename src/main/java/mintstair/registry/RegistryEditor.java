package mintstair.registry;

import java.io.IOException;
import mintstair.registry.view.Item;

/** Reads and changes single entries, for the commands; each call blocks for some seconds at most. */
public interface RegistryEditor extends AutoCloseable {
    /** The entry as the majority has it, or null. */
    Item get(String key) throws IOException;

    /**
     * Puts the value if the entry is still at this revision, 0 for one that is not there; false where it is not any more. An
     * exception says whether the change may have been made.
     */
    boolean put(String key, byte[] value, long expected) throws IOException;

    /** Deletes the entry if it is still at this revision. */
    boolean delete(String key, long expected) throws IOException;

    @Override
    void close();
}
