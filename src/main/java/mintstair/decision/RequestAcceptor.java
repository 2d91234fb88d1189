package mintstair.decision;

import java.util.Random;
import java.util.function.Supplier;

/**
 * Accepts requests: finds out what each must see, whether its tenant is over its quota, and its admission sample.
 * Times are microseconds. Not safe for use by several threads.
 */
final class RequestAcceptor {
    /** Rounding of a session token's age on its way. */
    private static final long TOKEN_AGE_ROUNDING_MICROS = 1_000;
    /** Spreads the hash codes of sessions over the seeds of their admission samples. */
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

    /** Adopts the tenants of these settings. */
    void apply(long now, RouterSettings changed) {
        quotas.apply(now, changed);
    }

    /** Accepts a request that has just been counted in the request rate. */
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

    /** The position that a session's read must see; one that the request carries counts back from the arrival. */
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

    /** Where only a part is admitted a session keeps its sample, so that trying again is no way in. */
    private double admissionSample(RoutingRequest request) {
        if (request.session() == null) {
            return random.nextDouble();
        }
        return new Random(request.session().hashCode() * SESSION_SEED_FACTOR).nextDouble();
    }
}
