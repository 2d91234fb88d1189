package mintstair.decision;

/**
 * Settings that protect database hosts from overload and from requests after their removal.
 *
 * @param drainGraceMicros how long after it was listed as draining a host may still be sent attempts
 * @param slowStartInitialShare the share of its capacity that a host is assumed to have at its start
 * @param slowStartMicros how long after its start a host reaches its full capacity
 * @param overloadMultiple the multiple of its current capacity that all routers together may send a host in slow start
 * @param overloadSpanMicros the length of any time span within which that bound must hold
 * @param removalIsAdvisory whether a host that was removed from the endpoint list may still be used; a draining host
 *     may not
 */
public record ProtectionSettings(
        long drainGraceMicros,
        double slowStartInitialShare,
        long slowStartMicros,
        double overloadMultiple,
        long overloadSpanMicros,
        boolean removalIsAdvisory) {}
