package mintstair.decision;

/** One host as listed. */
public record EndpointEntry(
        String host,
        boolean primary,
        String zone,
        int group,
        EndpointState state,
        double size,
        // 0 where it started long ago
        long lastStart) {}
