package mintstair.registry.view;

/**
 * One change of a registry entry, as reported by a watch.
 *
 * @param deleted whether the entry was deleted; otherwise it was put
 * @param entry the entry as it was put; after a deletion, only its key and modification revision are meaningful
 */
public record EntryChange(boolean deleted, RegistryEntry entry) {}
