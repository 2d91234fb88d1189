package mintstair.decision;

/** A tenant and its quota: the rate, over all routers, up to which its requests have their full priority weight. */
public record Tenant(String name, double quotaPerSecond) {}
