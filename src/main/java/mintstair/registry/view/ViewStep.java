package mintstair.registry.view;

import java.util.List;

/**
 * The result of one event or tick: calls to make, in order, and updates, in order, which take effect together.
 */
public record ViewStep(List<RegistryCall> calls, List<ViewUpdate> updates) {}
