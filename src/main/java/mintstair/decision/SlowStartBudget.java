package mintstair.decision;

import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * The one gate for what is sent to a host in slow start. The rules let all routers together send it a multiple of what
 * it can do at that moment. What it can do is not known: it is taken from what warm hosts do, of which this router knows
 * its own part, and all parts add up to no more than the whole.
 *
 * <p>A router with much traffic counts what it sent and stops where its part is spent. One with little may send a whole
 * request where its part is a fraction of one, so it lets a request through with the probability that its part is of
 * the work that is directed at the host, whatever made that so large: peers that are gone, a new primary, clients that
 * come again. Times are microseconds. Not safe for use by several threads.
 */
final class SlowStartBudget {
    private static final double MICROS_PER_SECOND = 1e6;
    /**
     * The part of the budget that is used in the mean. The rest is for what is sent beyond the mean of the demand:
     * further attempts, requests that waited, a demand that rises within seconds.
     */
    private static final double USED_PART = 0.9;
    /**
     * A router whose part is more than so many requests in the span is held to it by counting, and needs no margin: for
     * it the chance is a second bound.
     */
    private static final double COUNTED_REQUESTS = 3;
    /** Requests that a router may always have sent ahead of its part: it can't send a fraction of one. */
    private static final double LEAST_BURST = 2;
    /** All routers together may send a host so many requests within the span, whatever it can do. */
    private static final double LEAST_OF_ALL = 2;
    /** Requests that need the primary, and those that do not. */
    private static final double KINDS = 2;
    /** A request of more than this many times the mean work is let through more rarely: a few would be all. */
    private static final double LARGE_WORK = 3;

    private final Supplier<RouterSettings> settings;
    private final FleetShare fleetShare;
    private final IntSupplier replicaSets;
    private final RequestDemand demand;
    private final HostThroughput throughput;

    SlowStartBudget(
            Supplier<RouterSettings> settings,
            FleetShare fleetShare,
            IntSupplier replicaSets,
            RequestDemand demand,
            HostThroughput throughput) {
        this.settings = settings;
        this.fleetShare = fleetShare;
        this.replicaSets = replicaSets;
        this.demand = demand;
        this.throughput = throughput;
    }

    /**
     * Whether the request may be sent to the endpoint; always so where that is not in slow start.
     *
     * @param directedPerSecond the work a second of this router's requests that would go there
     */
    boolean admits(long now, Endpoint endpoint, InFlightRequest request, double directedPerSecond) {
        if (!endpoint.isInSlowStart(now, settings.get().protection())) {
            return true;
        }
        double part = partPerSecond(now, endpoint);
        double large = Math.max(1, request.work / (LARGE_WORK * demand.meanWork()));
        double used = USED_PART * (1 + requestsInSpan(part) / COUNTED_REQUESTS);
        boolean drawn = request.admissionSample * directedPerSecond * large < used * part;
        boolean admitted = drawn && hasCredit(now, endpoint, part);
        if (!admitted) {
            countHeldBack(endpoint, request);
        }
        return admitted;
    }

    /** Counts a request that was held back from the endpoint, once each. */
    void countHeldBack(Endpoint endpoint, InFlightRequest request) {
        if (request.heldBackFrom != endpoint) {
            request.heldBackFrom = endpoint;
            endpoint.slowStart.requestHeldBack();
        }
    }

    /** What is assumed of the demand of a replica set, of either kind, before it has shown. */
    double assumedDemandPerSecond(long now) {
        return demand.perSecond(now) / (KINDS * Math.max(1, replicaSets.getAsInt()));
    }

    /** Whether this router has sent no more than its part, for a request that has no other place. */
    boolean hasCredit(long now, Endpoint endpoint) {
        return !endpoint.isInSlowStart(now, settings.get().protection())
                || hasCredit(now, endpoint, partPerSecond(now, endpoint));
    }

    private boolean hasCredit(long now, Endpoint endpoint, double part) {
        long span = settings.get().protection().overloadSpanMicros();
        double most = Math.max(LEAST_BURST, requestsInSpan(part)) * demand.meanWork();
        return endpoint.sentWork.sum(now, span) < most;
    }

    /** How many requests of mean work this part is in the span by which the rules count. */
    private double requestsInSpan(double partPerSecond) {
        double span = settings.get().protection().overloadSpanMicros() / MICROS_PER_SECOND;
        return partPerSecond * span / Math.max(1, demand.meanWork());
    }

    /** An attempt is sent to the endpoint, whether or not that is in slow start: it may be found to be so later. */
    void attemptSent(long now, Endpoint endpoint, InFlightRequest request) {
        endpoint.sentWork.add(now, request.work, settings.get().protection().overloadSpanMicros());
        if (endpoint.isInSlowStart(now, settings.get().protection())) {
            endpoint.slowStart.attemptSent();
        }
    }

    /** This router's part of the work a second that the endpoint may be sent now. */
    private double partPerSecond(long now, Endpoint endpoint) {
        ProtectionSettings protection = settings.get().protection();
        double perSecond = protection.overloadMultiple()
                * endpoint.capacityShare(now, protection)
                * throughput.workPerSecond(endpoint.capacityHint, demand.perSecond(now));
        double leastPerSpan = LEAST_OF_ALL * demand.meanWork() / fleetShare.effectiveFleetSize();
        return Math.max(perSecond, leastPerSpan * MICROS_PER_SECOND / protection.overloadSpanMicros());
    }
}
