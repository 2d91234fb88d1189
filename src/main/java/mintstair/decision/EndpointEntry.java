package mintstair.decision;

/**
 * One host as listed.
 *
 * @param primary whether the list names it as the primary of its replica set
 * @param replicaSet the number of its replica set
 * @param capacityHint its capacity relative to other hosts
 * @param startTimeMicros when it last started, on the hosts' clock; 0 if it started long ago
 */
public record EndpointEntry(
        String host,
        boolean primary,
        String zone,
        int replicaSet,
        EndpointState state,
        double capacityHint,
        long startTimeMicros) {}
