package mintstair.decision;

/**
 * A tenant and its quota.
 *
 * @param name the name, unique among the tenants of the settings
 * @param quotaPerSecond the requests per second, over all routers, up to which its requests have full priority
 */
public record Tenant(String name, double quotaPerSecond) {}
