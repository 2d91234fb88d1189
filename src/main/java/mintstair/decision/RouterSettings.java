package mintstair.decision;

import java.util.List;

/**
 * The settings of a router. Costs are relative to the value of one request.
 *
 * @param fleetSize the configured number of routers
 * @param instanceIndex the position of this router in the fleet
 * @param overQuotaWeight the weight of requests of tenants that exceed their quotas
 * @param remembersSessionTokens whether the router remembers the last write of each session; if not, requests carry it
 * @param positionsInResponses whether hosts report their positions with replies
 * @param listReportsRole whether the endpoint list names the primaries
 * @param subscribesToEndpoints whether the router subscribes to the endpoint list itself
 * @param clientsMarkRetries whether clients mark their retries
 * @param healthCheckCost the cost of one health check
 * @param crossZoneCost the cost of a request to a host of another zone
 */
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
    /** Throws {@link InvalidSettingsException} if no router can work with these settings. */
    void validate() {
        require(fleetSize > 0, "balancers must be at least 1, got " + fleetSize);
        require(limits.maxAttempts() > 0, "limits.maxAttempts must be at least 1, got " + limits.maxAttempts());
        double initialShare = protection.slowStartInitialShare();
        require(initialShare > 0, "invariants.coldFrom must be above 0, got " + initialShare);
        for (RequestClass requestClass : classes) {
            long objective = requestClass.latencyObjectiveMicros();
            require(objective > 0, "classes.sloS must be above 0, got " + objective + " us for " + requestClass.name());
        }
    }

    private static void require(boolean isValid, String message) {
        if (!isValid) {
            throw new InvalidSettingsException(message);
        }
    }
}
