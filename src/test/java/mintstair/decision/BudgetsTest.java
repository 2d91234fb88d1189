package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Token buckets, tenants' quotas and the part of the fleet. */
class BudgetsTest {
    private static final long SECOND = 1_000 * RouterFixture.MS;

    @Test
    void bucketNeverHoldsMoreThanASecondsRequestsAndTheInitialTokens() {
        TokenBucket bucket = new TokenBucket(2, 20);
        for (int i = 0; i < 100; i++) {
            bucket.earn(0.5, 1);
        }
        assertEquals(3, tokensIn(bucket));
    }

    @Test
    void bucketNeverHoldsMoreThanItsCapacity() {
        TokenBucket bucket = new TokenBucket(2, 20);
        for (int i = 0; i < 100; i++) {
            bucket.earn(0.5, 1_000);
        }
        assertEquals(20, tokensIn(bucket));
        assertFalse(bucket.hasToken());
    }

    private static int tokensIn(TokenBucket bucket) {
        int count = 0;
        while (bucket.tryAcquire()) {
            count++;
        }
        return count;
    }

    @Test
    void tenantMaySaveUpABurstAndThenItsQuota() {
        TenantQuotas quotas = new TenantQuotas();
        quotas.apply(0, new RouterFixture().settings());
        for (int i = 0; i < 5; i++) {
            assertFalse(quotas.countAndCheckOverQuota(0, 0, 100, 10));
        }
        assertTrue(quotas.countAndCheckOverQuota(0, 0, 100, 10));
        assertFalse(quotas.countAndCheckOverQuota(SECOND, 0, 100, 10));
    }

    @Test
    void requestWithoutTenantIsNeverOverQuota() {
        TenantQuotas quotas = new TenantQuotas();
        quotas.apply(0, new RouterFixture().settings());
        for (int i = 0; i < 100; i++) {
            assertFalse(quotas.countAndCheckOverQuota(0, -1, 100, 10));
        }
    }

    @Test
    void partIsThatOfTheConfiguredFleetUntilOneIsObserved() {
        RouterFixture fixture = new RouterFixture();
        fixture.fleetSize = 8;
        FleetShare share = new FleetShare();
        share.apply(fixture.settings());
        assertEquals(8, share.effectiveFleetSize());
        share.observe(new FleetSize(8, 4, true));
        assertEquals(1 / (0.5 / 8 + 0.5 / 4), share.effectiveFleetSize(), 1e-9);
        share.observe(new FleetSize(16, 4, false));
        assertEquals(1 / (0.5 / 16), share.effectiveFleetSize(), 1e-9);
    }
}
