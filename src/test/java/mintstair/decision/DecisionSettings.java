package mintstair.decision;

import java.util.List;

/** The settings with which {@link DecisionSchedule} is played; each of them exercises other parts of the router. */
enum DecisionSettings {
    /** One router, replicas that do not check read requirements, hedged requests allowed. */
    PLAIN {
        @Override
        RouterSettings settings() {
            return new Bed().settings();
        }
    },
    /** Replicas reject reads for which they lag too far; the router remembers session tokens. */
    CHECKED_READS {
        @Override
        RouterSettings settings() {
            Bed bed = new Bed();
            bed.check = ReplicaReadCheck.REJECT;
            bed.remembered = true;
            bed.routers = 3;
            return bed.settings();
        }
    },
    /** Replicas delay reads until they have caught up; removal from the endpoint list is advisory. */
    WAITING_READS {
        @Override
        RouterSettings settings() {
            Bed bed = new Bed();
            bed.check = ReplicaReadCheck.WAIT;
            bed.goneIsAdvice = true;
            bed.maxAttempts = 3;
            return bed.settings();
        }
    },
    /** One of a hundred routers, no hedged requests, few attempts, short deadlines. */
    LARGE_FLEET {
        @Override
        RouterSettings settings() {
            Bed bed = new Bed();
            bed.routers = 100;
            bed.secondCopies = false;
            bed.maxAttempts = 4;
            bed.deadline = 800 * Bed.MS;
            bed.window = 300 * Bed.MS;
            return bed.settings();
        }
    },
    /** No polls, no cancellation, no Retry-After; the endpoint list reports the replication roles. */
    LIST_ONLY {
        @Override
        RouterSettings settings() {
            AttemptLimits limits = new AttemptLimits(5, false, false, false, false, false, 0);
            return withLimits(new Bed().settings(), limits, true);
        }
    },
    /** Several tenants over their quotas, a high cost of polls, a long slow start. */
    TENANTS {
        @Override
        RouterSettings settings() {
            Bed bed = new Bed();
            bed.remembered = true;
            bed.routers = 8;
            RouterSettings base = bed.settings();
            List<Tenant> tenants = List.of(new Tenant("small", 20), new Tenant("large", 400), new Tenant("none", 0));
            ProtectionSettings protection =
                    new ProtectionSettings(250 * Bed.MS, 0.1, 20_000 * Bed.MS, 2, 1_000 * Bed.MS, false);
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
