package mintstair.registry.view;

import java.util.List;

/**
 * A whole view as it is stored over restarts.
 *
 * @param prefix the prefix of the keys that the view is of
 * @param confirmedAtMicros when the registry last confirmed that the view was complete; -1 for never
 */
public record Snapshot(
        String prefix, long clusterId, long revision, long term, long confirmedAtMicros, List<RegistryEntry> entries) {}
