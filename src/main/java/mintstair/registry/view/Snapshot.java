package mintstair.registry.view;

import java.util.List;

/**
 * The complete state of a view, which is stored for a restart.
 *
 * @param prefix the prefix of the keys of the view
 * @param clusterId the cluster id of the registry that the entries were read from
 * @param revision the revision up to which the entries are complete
 * @param term the highest Raft term that was received from the registry
 * @param confirmedAtMicros when the registry last confirmed that the view was complete; -1 for never
 */
public record Snapshot(
        String prefix, long clusterId, long revision, long term, long confirmedAtMicros, List<RegistryEntry> entries) {}
