package mintstair.registry.view;

/**
 * A position in the history of a registry, as a member reports it with each response.
 *
 * @param clusterId the registry's cluster id; 0 if the protocol has none
 * @param revision the revision that the responding member has reached
 * @param term the member's Raft term; 0 if the protocol has none
 */
public record RegistryPosition(long clusterId, long revision, long term) {}
