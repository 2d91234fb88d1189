package mintstair.decision;

import java.util.List;

/** The settings under which {@link DecisionSchedule} plays: each one switches on other parts of the decision module. */
enum DecisionSettings {
    /** One router, replicas that check nothing, hedged requests allowed. */
    PLAIN {
        @Override
        RouterSettings settings() {
            return new Bed().settings();
        }
    },
    /** Replicas refuse reads for which they are behind; session positions are remembered by the router. */
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
    /** Replicas wait until they are recent enough, and the list only advises that an endpoint is gone. */
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
    /** One of a hundred routers, cancellation in place of hedged requests, few attempts, short deadlines. */
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
    /** No polls, no cancellation, no Retry-After; the list tells the roles. */
    LIST_ONLY {
        @Override
        RouterSettings settings() {
            AttemptLimits limits = new AttemptLimits(5, false, false, false, false, false, 0);
            return altered(new Bed().settings(), limits, true);
        }
    },
    /** Several tenants over their quotas, a dear price of polls, a long slow start. */
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
