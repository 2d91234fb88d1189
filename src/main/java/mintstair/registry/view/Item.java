package mintstair.registry.view;

/**
 * One entry of the registry. {@code key} holds its bytes as characters of ISO 8859-1, so that every key survives;
 * {@code created} and {@code modified} are the revisions that made this life of the key and last changed it.
 */
public record Item(String key, byte[] value, long created, long modified) {}
