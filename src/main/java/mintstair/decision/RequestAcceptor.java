package mintstair.decision;

import java.util.Random;
import java.util.function.Supplier;

/**
 * Accepts requests: determines for each the replication position that it must see, whether its tenant is over its
 * quota, its admission sample and its work. Times are microseconds. Not safe for use by several threads.
 */
final class RequestAcceptor {
    /** Largest error by which the age of a session token is rounded in transit. */
    private static final long TOKEN_AGE_ROUNDING_MICROS = 1_000;
    /** Spreads the hash codes of sessions over the seeds from which their admission samples are drawn. */
    private static final long SESSION_SEED_FACTOR = 0x9E3779B97F4A7C15L;

    private final Supplier<RouterSettings> settings;
    private final RequestClassTable classes;
    private final RequestRate requestRate;
    private final FleetShare fleetShare;
    private final SessionTokens tokens;
    private final Random random;
    private final RequestWork requestWork;
    private final TenantQuotas quotas = new TenantQuotas();

    RequestAcceptor(
            Supplier<RouterSettings> settings,
            RequestClassTable classes,
            RequestRate requestRate,
            FleetShare fleetShare,
            SessionTokens tokens,
            RequestWork requestWork,
            Random random) {
        this.settings = settings;
        this.classes = classes;
        this.requestRate = requestRate;
        this.fleetShare = fleetShare;
        this.tokens = tokens;
        this.requestWork = requestWork;
        this.random = random;
    }

    /** Applies the tenants of these settings. */
    void apply(long now, RouterSettings changed) {
        quotas.apply(now, changed);
    }

    /** Accepts a request, which must have been recorded in the request rate immediately before. */
    InFlightRequest accept(long now, RoutingRequest request) {
        ClassStatistics statistics = classes.get(request.classIndex());
        return new InFlightRequest(
                request,
                statistics,
                now,
                sessionPosition(now, request, statistics.requestClass),
                isOverQuota(now, request),
                admissionSample(request),
                settings.get().limits().maxAttempts(),
                requestWork.of(statistics));
    }

    /**
     * Returns the position that a read must see according to its session, or {@link Positions#UNKNOWN}. A token that
     * the request carries gives the age of the position at its arrival.
     */
    private long sessionPosition(long now, RoutingRequest request, RequestClass requestClass) {
        if (requestClass.consistency() != Consistency.SESSION) {
            return Positions.UNKNOWN;
        }
        if (settings.get().remembersSessionTokens()) {
            return tokens.positionOf(request.session());
        }
        boolean carried = request.tokenAgeMicros() != Positions.UNKNOWN;
        return carried ? now - request.tokenAgeMicros() + TOKEN_AGE_ROUNDING_MICROS : Positions.UNKNOWN;
    }

    private boolean isOverQuota(long now, RoutingRequest request) {
        double rate = requestRate.perSecondAtLastRequest();
        return quotas.countAndCheckOverQuota(now, request.tenant(), rate, fleetShare.effectiveFleetSize());
    }

    /**
     * Returns a random sample from 0 to 1, the same for all requests of a session: where only a share of requests is
     * admitted, a client retry does not raise the chance of admission.
     */
    private double admissionSample(RoutingRequest request) {
        if (request.session() == null) {
            return random.nextDouble();
        }
        return new Random(request.session().hashCode() * SESSION_SEED_FACTOR).nextDouble();
    }
}
