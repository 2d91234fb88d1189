package mintstair.registry.view;

/**
 * One entry of the registry.
 *
 * @param key its bytes as characters of ISO 8859-1, so that every key survives
 * @param createRevision the revision at which the key came into being; another one after it was deleted and put again
 * @param modRevision the revision of the last change
 */
public record RegistryEntry(String key, byte[] value, long createRevision, long modRevision) {
    int sizeBytes() {
        return key.length() + value.length;
    }
}
