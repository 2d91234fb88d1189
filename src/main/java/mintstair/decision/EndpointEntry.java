package mintstair.decision;

/** One host as listed. */
public record EndpointEntry(
        String host,
        boolean primary,
        String zone,
        int replicaSet,
        EndpointState state,
        double capacityHint,
        // 0 where it started long ago
        long startTimeMicros) {}
