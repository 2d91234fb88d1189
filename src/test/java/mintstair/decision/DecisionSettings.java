package mintstair.decision;

import java.util.List;

/** The settings under which {@link DecisionSchedule} plays: each one switches on other parts of the decision module. */
enum DecisionSettings {
    /** One router, replicas that check nothing, hedged requests allowed. */
    PLAIN {
        @Override
        RouterSettings settings() {
            return new RouterFixture().settings();
        }
    },
    /** Replicas refuse reads for which they are behind; session positions are remembered by the router. */
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
    /** Replicas wait until they are recent enough, and the list only advises that an endpoint is gone. */
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
    /** One of a hundred routers, cancellation in place of hedged requests, few attempts, short deadlines. */
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
    /** No polls, no cancellation, no Retry-After; the list tells the roles. */
    LIST_ONLY {
        @Override
        RouterSettings settings() {
            AttemptLimits limits = new AttemptLimits(5, false, false, false, false, false, 0);
            return altered(new RouterFixture().settings(), limits, true);
        }
    },
    /** Several tenants over their quotas, a dear price of polls, a long slow start. */
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

    /** A settings object of its own for each schedule. */
    abstract RouterSettings settings();

    private static RouterSettings altered(RouterSettings base, AttemptLimits limits, boolean listTellsRole) {
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
                listTellsRole,
                true,
                false,
                base.healthCheckCost(),
                0,
                base.protection(),
                limits);
    }
}
