package mintstair.decision;

import java.util.Arrays;
import java.util.List;

/**
 * Determines which tenants are over their quotas, with a token bucket for each tenant that is refilled at this router's
 * part of the tenant's quota. Times are microseconds. Not safe for use by several threads.
 */
final class TenantQuotas {
    /** Smallest capacity of a bucket; this many requests can arrive together by chance. */
    private static final double MIN_BURST = 5;

    private static final double MICROS_PER_SECOND = 1e6;

    private static final class Bucket {
        double tokens = MIN_BURST;
        long refilledAt;

        Bucket(long now) {
            refilledAt = now;
        }
    }

    private List<Tenant> tenants = List.of();
    private Bucket[] buckets = {};

    /** Applies the tenants of these settings, each with {@link #MIN_BURST} tokens. */
    void apply(long now, RouterSettings settings) {
        tenants = settings.tenants();
        buckets = new Bucket[tenants.size()];
        Arrays.setAll(buckets, index -> new Bucket(now));
    }

    /**
     * Counts a request of a tenant, and returns whether the tenant exceeds this router's part of its quota.
     *
     * @param tenant the index of the tenant in the settings; negative for none, which is never over a quota
     * @param requestsPerSecond the request rate of all tenants at this router; a router with more than an equal part of
     *     all traffic has a larger part of each quota
     * @param fleetSize the number of routers among which quotas are divided
     */
    boolean countAndCheckOverQuota(long now, int tenant, double requestsPerSecond, double fleetSize) {
        if (tenant < 0) {
            return false;
        }
        double allQuotas = tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
        double part = Math.max(1 / fleetSize, allQuotas > 0 ? requestsPerSecond / allQuotas : 0);
        double quota = tenants.get(tenant).quotaPerSecond() * part;
        Bucket bucket = buckets[tenant];
        double refill = quota * (now - bucket.refilledAt) / MICROS_PER_SECOND;
        bucket.tokens = Math.min(Math.max(MIN_BURST, quota), bucket.tokens + refill);
        bucket.refilledAt = now;
        if (bucket.tokens < 1) {
            return true;
        }
        bucket.tokens--;
        return false;
    }
}
