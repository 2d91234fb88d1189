package mintstair.registry.view;

/** One change of the registry, as a watch tells it: {@code item} was put, or its key was deleted at {@code item.modified()}. */
public record Change(boolean deleted, Item item) {}
