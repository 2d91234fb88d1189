package mintstair.decision;

import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Limits the work that is sent to a host in slow start; every attempt at such a host must be admitted here. All routers
 * together may send the host a configured multiple of its current capacity. That capacity is estimated from the
 * throughput of warm hosts: each router measures the part of it that serves its own requests, and all parts add up to
 * no more than the whole.
 *
 * <p>A router with much traffic counts the work that it sent and stops when its part is used up. A router with little
 * traffic has a part of less than one request, so it admits each request with a probability: its part divided by the
 * work directed at the host. That holds for any cause of a high demand, such as removed peers, a new primary or client
 * retries. Times are microseconds. Not safe for use by several threads.
 */
final class SlowStartBudget {
    private static final double MICROS_PER_SECOND = 1e6;
    /**
     * Share of the budget that admission by probability uses on average. The rest is a margin for work beyond the mean
     * demand: further attempts, queued requests, a demand that rises within seconds.
     */
    private static final double USED_SHARE = 0.9;
    /**
     * With a part of more requests per span than this, counting alone keeps a router within its part; the margin
     * is not needed, and the probability is only a second bound.
     */
    private static final double COUNTED_REQUESTS = 3;
    /** Requests per span that a router may send even if its part is smaller: it can't send a fraction of one. */
    private static final double MIN_BURST = 2;
    /** Requests per span that all routers together may send a host, whatever its capacity is. */
    private static final double MIN_REQUESTS_OF_FLEET = 2;
    /** The kinds of demand of a replica set: requests that need the primary, and others. */
    private static final double DEMAND_KINDS = 2;
    /** Above this multiple of the mean work a request is admitted less often, as a few would use up the budget. */
    private static final double LARGE_WORK = 3;

    private final Supplier<RouterSettings> settings;
    private final FleetShare fleetShare;
    private final IntSupplier replicaSetCount;
    private final RequestDemand demand;
    private final HostThroughput throughput;

    SlowStartBudget(
            Supplier<RouterSettings> settings,
            FleetShare fleetShare,
            IntSupplier replicaSetCount,
            RequestDemand demand,
            HostThroughput throughput) {
        this.settings = settings;
        this.fleetShare = fleetShare;
        this.replicaSetCount = replicaSetCount;
        this.demand = demand;
        this.throughput = throughput;
    }

    /**
     * Returns whether the request may be sent to the endpoint; always true if that is not in slow start. Records a
     * request that is not admitted as held back.
     *
     * @param directedPerSecond the work per second of this router's requests that is directed at the endpoint
     */
    boolean admits(long now, Endpoint endpoint, InFlightRequest request, double directedPerSecond) {
        if (!endpoint.isInSlowStart(now, settings.get().protection())) {
            return true;
        }
        double part = partPerSecond(now, endpoint);
        double large = Math.max(1, request.work / (LARGE_WORK * demand.meanWork()));
        double usedShare = USED_SHARE * (1 + requestsInSpan(part) / COUNTED_REQUESTS);
        boolean drawn = request.admissionSample * directedPerSecond * large < usedShare * part;
        boolean admitted = drawn && hasCredit(now, endpoint, part);
        if (!admitted) {
            recordHeldBack(endpoint, request);
        }
        return admitted;
    }

    /** Records that a request was held back from the endpoint; counts it once if it is held back there repeatedly. */
    void recordHeldBack(Endpoint endpoint, InFlightRequest request) {
        if (request.heldBackFrom != endpoint) {
            request.heldBackFrom = endpoint;
            endpoint.slowStart.recordRequestHeldBack();
        }
    }

    /** Returns the work per second that is assumed for each kind of demand of a replica set before it is measured. */
    double assumedDemandPerSecond(long now) {
        return demand.perSecond(now) / (DEMAND_KINDS * Math.max(1, replicaSetCount.getAsInt()));
    }

    /**
     * Returns whether this router has sent the endpoint less than its part; always true if that is not in slow start.
     * This alone decides on a request that no other endpoint can serve.
     */
    boolean hasCredit(long now, Endpoint endpoint) {
        return !endpoint.isInSlowStart(now, settings.get().protection())
                || hasCredit(now, endpoint, partPerSecond(now, endpoint));
    }

    private boolean hasCredit(long now, Endpoint endpoint, double part) {
        long span = settings.get().protection().overloadSpanMicros();
        double maxWork = Math.max(MIN_BURST, requestsInSpan(part)) * demand.meanWork();
        return endpoint.sentWork.sum(now, span) < maxWork;
    }

    /** Returns the number of requests of mean work that this part allows within the overload span. */
    private double requestsInSpan(double partPerSecond) {
        double span = settings.get().protection().overloadSpanMicros() / MICROS_PER_SECOND;
        return partPerSecond * span / Math.max(1, demand.meanWork());
    }

    /**
     * Records an attempt that is sent to the endpoint. Attempts outside of slow start count as well, as the start of
     * the endpoint may be detected or listed later.
     */
    void attemptSent(long now, Endpoint endpoint, InFlightRequest request) {
        endpoint.sentWork.add(now, request.work, settings.get().protection().overloadSpanMicros());
        if (endpoint.isInSlowStart(now, settings.get().protection())) {
            endpoint.slowStart.recordAttemptSent();
        }
    }

    /** Returns this router's part of the work per second that the endpoint may be sent now. */
    private double partPerSecond(long now, Endpoint endpoint) {
        ProtectionSettings protection = settings.get().protection();
        double perSecond = protection.overloadMultiple()
                * endpoint.capacityShare(now, protection)
                * throughput.workPerSecond(endpoint.capacityHint, demand.perSecond(now));
        double minPerSpan = MIN_REQUESTS_OF_FLEET * demand.meanWork() / fleetShare.effectiveFleetSize();
        return Math.max(perSecond, minPerSpan * MICROS_PER_SECOND / protection.overloadSpanMicros());
    }
}
