package mintstair.registry;

import mintstair.registry.view.RegistryEntry;

/** Reads and changes single entries of a registry, for the command line. Each call blocks for some seconds at most. */
public interface RegistryEditor extends AutoCloseable {
    /** Reads the entry linearizably; null where there is none. */
    RegistryEntry get(String key) throws RegistryException;

    /**
     * Puts the value by compare-and-set.
     *
     * @param expectedRevision the revision that the entry must still have; 0 for an entry that does not exist
     * @return false where the entry has another revision, so that nothing was changed
     * @throws UncertainChangeException where the change may have been made
     */
    boolean put(String key, byte[] value, long expectedRevision) throws RegistryException;

    /** Deletes the entry by compare-and-set, like {@link #put}. */
    boolean delete(String key, long expectedRevision) throws RegistryException;

    @Override
    void close();
}
