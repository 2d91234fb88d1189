package mintstair.proxy;

import java.util.function.Consumer;
import mintstair.config.InstanceSettings;
import mintstair.request.EndpointList;
import mintstair.request.Exchange;
import mintstair.request.ProxyRequest;
import mintstair.request.ResponseListener;
import mintstair.request.Statement;
import mintstair.routing.RequestClasses;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterAction;
import mintstair.routing.RouterEvent;
import mintstair.stats.Counters;
import mintstair.stats.MetricsSnapshot;

/**
 * The entry point of the core for fronts and services: accepts requests, and passes on what changes around them. It
 * knows no protocol. Times are microseconds on the event loop's clock. To be used on the event loop only.
 */
public final class Dispatcher {
    private static final long RELEASE_TIMEOUT_MICROS = 1_000_000;
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final EventLoop loop;
    private final RequestRouter router;
    private final Backend backend;
    private final Counters counters;
    private final RequestTable requests = new RequestTable();
    private final KnownEndpoints endpoints = new KnownEndpoints();
    private final RouterDriver driver;
    private final RequestCompletion completion;
    private final ActionExecutor executor;
    private final ProxyMetrics metrics;
    private long lastRequestNumber;
    private long drainingFromMicros = NOT_DRAINING;
    private long drainedByMicros;

    /** @param log takes the lines for operators, one call a line */
    public Dispatcher(EventLoop loop, RequestRouter router, Backend backend, Counters counters, Consumer<String> log) {
        this.loop = loop;
        this.router = router;
        this.backend = backend;
        this.counters = counters;
        driver = new RouterDriver(loop, router, this::execute);
        completion = new RequestCompletion(loop, router, driver, requests, counters);
        AttemptSender attempts = new AttemptSender(loop, router, driver, backend, requests, completion, counters);
        HealthCheckSender healthChecks = new HealthCheckSender(loop, driver, backend, counters);
        executor = new ActionExecutor(requests, attempts, healthChecks, completion, counters, log);
        metrics = new ProxyMetrics(loop, router, requests, endpoints, counters);
    }

    private void execute(RouterAction action) {
        action.accept(executor);
    }

    /** The request classes of the current settings, which a front looks up before it submits a request. */
    public RequestClasses classes() {
        return router.classes();
    }

    /** Whether some host of this cluster was ever listed. */
    public boolean knowsCluster(int cluster) {
        return endpoints.knowsCluster(cluster);
    }

    /** Whether a request with this client id is without its final answer. */
    public boolean isOpen(String id) {
        return requests.isOpen(id);
    }

    /**
     * Accepts a request.
     *
     * @param waitedMicros how much of its timeout has passed since it was read from the connection
     * @param client gets its one final answer, unless it disconnects first; possibly before this call returns
     */
    public Exchange submit(ProxyRequest read, long waitedMicros, ResponseListener client) {
        long nowMicros = loop.now();
        ProxyRequest request = read.withReducedTimeout(waitedMicros);
        long number = ++lastRequestNumber;
        Exchange exchange = new Exchange(number, request, nowMicros, client);
        AcceptedRequest accepted = new AcceptedRequest(exchange);
        requests.add(accepted);
        counters.requestAccepted();
        accepted.setDeadlineGuard(
                DeadlineGuard.start(loop, exchange.deadlineMicros(), () -> completion.deadlineExpired(accepted)));
        driver.execute(router.route(nowMicros, number, request));
        return exchange;
    }

    /** The client of an exchange has left; does nothing where that is over. */
    public void clientDisconnected(Exchange exchange) {
        completion.clientDisconnected(exchange);
    }

    /** Sends a host a statement that frees what it holds for a client, if it is serving; the reply is discarded. */
    public void release(String host, Statement statement) {
        if (endpoints.isServing(host)) {
            long untilMicros = loop.now() + RELEASE_TIMEOUT_MICROS;
            backend.send(host, statement, untilMicros, untilMicros, reply -> {});
        }
    }

    /**
     * Prepares the end of this process: requests that come after {@code fromMicros}, and all that are in flight at
     * {@code byMicros}, get their answer by {@code byMicros}.
     */
    public void drainBy(long fromMicros, long byMicros) {
        drainingFromMicros = fromMicros;
        drainedByMicros = byMicros;
        loop.at(byMicros, () -> driver.execute(router.shutDown(loop.now())));
    }

    /** How long a request that comes now may be held, where its client waits for {@code timeoutMicros}. */
    public long mayHold(long timeoutMicros) {
        long nowMicros = loop.now();
        if (nowMicros < drainingFromMicros) {
            return timeoutMicros;
        }
        return Math.max(1, Math.min(timeoutMicros, drainedByMicros - nowMicros));
    }

    /**
     * Switches to other settings, as {@link RequestRouter#applySettings} does.
     *
     * @throws RuntimeException where the settings make no sense
     */
    public void applySettings(InstanceSettings settings) {
        settings.classIndexes.keySet().forEach(counters::addClass);
        driver.execute(router.applySettings(loop.now(), settings));
    }

    /** The estimate of the number of proxies changed. */
    public void fleetSizeChanged(RouterEvent.FleetSizeChanged event) {
        driver.handle(loop.now(), event);
    }

    /** The endpoint list, or changes to it; {@code cached} where it was read from a copy of an earlier run. */
    public void endpointsUpdated(EndpointList list, boolean cached) {
        endpoints.update(list);
        backend.listed(list);
        driver.handle(loop.now(), new RouterEvent.EndpointsUpdated(list, cached));
        // A connection may take longer to come up than a draining host may still be sent to.
        backend.failQueuedForUnavailable();
    }

    /** Adds the metrics of requests and hosts. */
    public void addTo(MetricsSnapshot.Builder snapshot) {
        metrics.addTo(snapshot);
    }
}
