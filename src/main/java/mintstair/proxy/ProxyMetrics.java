package mintstair.proxy;

import mintstair.routing.RequestRouter;
import mintstair.stats.Counters;
import mintstair.stats.MetricsSnapshot;

/**
 * Publishes the metrics of requests and hosts: counters, and gauges that are computed for each snapshot. Used on the
 * event loop only.
 */
final class ProxyMetrics {
    private final EventLoop loop;
    private final RequestRouter router;
    private final RequestTable requests;
    private final KnownEndpoints endpoints;
    private final Counters counters;

    ProxyMetrics(
            EventLoop loop, RequestRouter router, RequestTable requests, KnownEndpoints endpoints, Counters counters) {
        this.loop = loop;
        this.router = router;
        this.requests = requests;
        this.endpoints = endpoints;
        this.counters = counters;
    }

    /** Adds the metrics to a snapshot. */
    void addTo(MetricsSnapshot.Builder metrics) {
        counters.addTo(metrics);
        metrics.add("in_flight", requests.countInFlight());
        metrics.add("db_hosts_known", endpoints.countListed());
        metrics.add("db_hosts_excluded", router.unavailableEndpoints(loop.now()));
    }
}
