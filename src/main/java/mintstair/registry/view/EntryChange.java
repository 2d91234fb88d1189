package mintstair.registry.view;

/**
 * One change of the registry, as a watch reports it.
 *
 * @param entry the entry that was put; of one that was deleted, the key and the revision of the deletion
 */
public record EntryChange(boolean deleted, RegistryEntry entry) {}
