package mintstair.decision;

import java.util.List;

/** All that a router is told at its start. */
public record RouterSettings(
        int fleetSize,
        int instanceIndex,
        String zone,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overQuotaWeight,
        boolean remembersSessionTokens,
        ReplicaReadCheck replicaReadCheck,
        boolean positionsInResponses,
        boolean listReportsRole,
        boolean subscribe,
        boolean clientsMarkRetries,
        double healthCheckCost,
        double crossZoneCost,
        ProtectionSettings protection,
        AttemptLimits limits) {}
