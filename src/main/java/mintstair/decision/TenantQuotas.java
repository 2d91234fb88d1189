package mintstair.decision;

import java.util.Arrays;
import java.util.List;

/**
 * Tells requests of tenants that stay within their quotas from those beyond: a token bucket a tenant, refilled at
 * this router's part of the tenant's quota. Times are microseconds. Not safe for use by several threads.
 */
final class TenantQuotas {
    /** Requests that a tenant may save up at least: fewer arrive together by chance alone. */
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

    /** Adopts the tenants of these settings, each with a full bucket. */
    void apply(long now, RouterSettings settings) {
        tenants = settings.tenants();
        buckets = new Bucket[tenants.size()];
        Arrays.setAll(buckets, index -> new Bucket(now));
    }

    /**
     * Counts a request of a tenant, and returns whether the tenant sends more to this router than its part of the
     * quota.
     *
     * @param tenant the index in the settings; negative for none, which has no quota
     * @param requestsPerSecond of all tenants at this router: where it has more than an equal part of all traffic,
     *     its part is larger
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
