package mintstair.decision;

import java.util.List;

/** The settings with which {@link DecisionSchedule} is played; each of them exercises other parts of the router. */
enum DecisionSettings {
    /** One router, replicas that do not check read requirements, hedged requests allowed. */
    PLAIN {
        @Override
        RouterSettings settings() {
            return new RouterFixture().settings();
        }
    },
    /** Replicas reject reads for which they lag too far; the router remembers session tokens. */
    CHECKED_READS {
        @Override
        RouterSettings settings() {
            RouterFixture fixture = new RouterFixture();
            fixture.replicaReadCheck = ReplicaReadCheck.REJECT;
            fixture.remembersSessionTokens = true;
            fixture.fleetSize = 3;
            return fixture.settings();
        }
    },
    /** Replicas delay reads until they have caught up; removal from the endpoint list is advisory. */
    WAITING_READS {
        @Override
        RouterSettings settings() {
            RouterFixture fixture = new RouterFixture();
            fixture.replicaReadCheck = ReplicaReadCheck.WAIT;
            fixture.removalIsAdvisory = true;
            fixture.maxAttempts = 3;
            return fixture.settings();
        }
    },
    /** One of a hundred routers, with cancellation but no hedged requests, few attempts, short deadlines. */
    LARGE_FLEET {
        @Override
        RouterSettings settings() {
            RouterFixture fixture = new RouterFixture();
            fixture.fleetSize = 100;
            fixture.hedging = false;
            fixture.maxAttempts = 4;
            fixture.deadlineOverride = 800 * RouterFixture.MS;
            fixture.deduplicationWindowOverride = 300 * RouterFixture.MS;
            return fixture.settings();
        }
    },
    /** No polls, no cancellation, no Retry-After; the endpoint list reports the replication roles. */
    LIST_ONLY {
        @Override
        RouterSettings settings() {
            AttemptLimits limits = new AttemptLimits(5, false, false, false, false, false, 0);
            return withLimits(new RouterFixture().settings(), limits, true);
        }
    },
    /** Several tenants over their quotas, a high cost of polls, a long slow start. */
    TENANTS {
        @Override
        RouterSettings settings() {
            RouterFixture fixture = new RouterFixture();
            fixture.remembersSessionTokens = true;
            fixture.fleetSize = 8;
            RouterSettings base = fixture.settings();
            List<Tenant> tenants = List.of(new Tenant("small", 20), new Tenant("large", 400), new Tenant("none", 0));
            ProtectionSettings protection = new ProtectionSettings(
                    250 * RouterFixture.MS, 0.1, 20_000 * RouterFixture.MS, 2, 1_000 * RouterFixture.MS, false);
            return new RouterSettings(
                    base.fleetSize(),
                    0,
                    "z",
                    base.classes(),
                    tenants,
                    0.2,
                    true,
                    ReplicaReadCheck.NONE,
                    true,
                    false,
                    true,
                    true,
                    0.2,
                    0.1,
                    protection,
                    base.limits());
        }
    };

    /** Returns new settings for one schedule. */
    abstract RouterSettings settings();

    private static RouterSettings withLimits(RouterSettings base, AttemptLimits limits, boolean listReportsRole) {
        return new RouterSettings(
                base.fleetSize(),
                0,
                "z",
                base.classes(),
                base.tenants(),
                base.overQuotaWeight(),
                false,
                base.replicaReadCheck(),
                base.positionsInResponses(),
                listReportsRole,
                true,
                false,
                base.healthCheckCost(),
                0,
                base.protection(),
                limits);
    }
}
