package mintstair.decision;

import java.util.List;

/** The settings of a router. Times are microseconds, costs are shares of the result. */
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
        boolean subscribesToEndpoints,
        boolean clientsMarkRetries,
        double healthCheckCost,
        double crossZoneCost,
        ProtectionSettings protection,
        AttemptLimits limits) {
    /** Throws {@link InvalidSettingsException} where no router can work with these settings. */
    void validate() {
        require(fleetSize > 0, "routers must be at least 1");
        require(limits.maxAttempts() > 0, "limits.maxAttempts must be at least 1");
        require(protection.slowStartInitialShare() > 0, "guards.coldShare must be above 0");
        for (RequestClass requestClass : classes) {
            require(requestClass.latencyObjectiveMicros() > 0, "classes.aim must be above 0");
        }
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new InvalidSettingsException(message);
        }
    }
}
