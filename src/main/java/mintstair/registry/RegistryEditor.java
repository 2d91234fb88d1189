package mintstair.registry;

import mintstair.registry.view.RegistryEntry;

/**
 * Reads and changes single entries of a registry on behalf of the command line. Each call blocks until a server has
 * responded; the wait for each server is limited to a few seconds.
 */
public interface RegistryEditor extends AutoCloseable {
    /**
     * Returns the entry with this key by a linearizable read; null if there is none.
     *
     * @throws RegistryException if no server responds or the response is an error
     */
    RegistryEntry get(String key) throws RegistryException;

    /**
     * Writes the value by compare-and-set.
     *
     * @param expectedRevision the revision that the entry must still have; 0 if the entry must not exist
     * @return whether the value was written; false if the entry has another revision
     * @throws UncertainChangeException if the value may have been written, because the connection failed after the
     *     request was sent
     */
    boolean put(String key, byte[] value, long expectedRevision) throws RegistryException;

    /**
     * Deletes the entry by compare-and-set.
     *
     * @param expectedRevision the revision that the entry must still have
     * @return whether the entry was deleted; false if it has another revision
     * @throws UncertainChangeException if the entry may have been deleted, because the connection failed after the
     *     request was sent
     */
    boolean delete(String key, long expectedRevision) throws RegistryException;

    @Override
    void close();
}
