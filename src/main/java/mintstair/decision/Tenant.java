package mintstair.decision;

/** A tenant and the rate, over all routers, up to which its requests are worth their full worth. */
public record Tenant(String name, double quotaPerSecond) {}
