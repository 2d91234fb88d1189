package mintstair.registry.view;

import java.util.List;

/**
 * What follows from one event or the passing of time: calls to carry out, and updates that take effect together, in
 * order.
 */
public record ViewStep(List<RegistryCall> calls, List<ViewUpdate> updates) {}
