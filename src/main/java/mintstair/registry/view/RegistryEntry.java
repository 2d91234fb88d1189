package mintstair.registry.view;

/**
 * An entry of the registry.
 *
 * @param key the key, with each byte as one character of ISO 8859-1, so that no key is altered by decoding
 * @param createRevision the revision at which the key was created; it changes if the key is deleted and put again
 * @param modRevision the revision of the last change
 */
public record RegistryEntry(String key, byte[] value, long createRevision, long modRevision) {
    /** Returns the length of key and value in bytes. */
    int sizeBytes() {
        return key.length() + value.length;
    }
}
