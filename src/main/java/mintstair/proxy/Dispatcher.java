package mintstair.proxy;

import java.util.function.Consumer;
import mintstair.config.InstanceSettings;
import mintstair.request.EndpointList;
import mintstair.request.Exchange;
import mintstair.request.GiveUpReason;
import mintstair.request.ProxyRequest;
import mintstair.request.Response;
import mintstair.request.ResponseListener;
import mintstair.request.Statement;
import mintstair.routing.RequestClasses;
import mintstair.routing.RequestRouter;
import mintstair.routing.RouterAction;
import mintstair.routing.RouterEvent;
import mintstair.stats.Counters;
import mintstair.stats.MetricsSnapshot;

/**
 * The entry point of the protocol-independent core: accepts requests from the fronts and applies changes of the
 * settings, the endpoint list and the fleet size. Times are microseconds on the event loop's clock. Used on the event
 * loop only.
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

    /**
     * Creates a dispatcher that executes the decisions of {@code router} through {@code backend}.
     *
     * @param log receives the log lines for operators, one line per call
     */
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

    /** Returns the request classes of the current settings, against which a front validates a request. */
    public RequestClasses classes() {
        return router.classes();
    }

    /** Returns whether a host of this cluster has ever been listed. */
    public boolean isClusterKnown(int cluster) {
        return endpoints.isClusterKnown(cluster);
    }

    /** Returns whether a request with this client id has not yet received its final response. */
    public boolean hasOpenRequest(String id) {
        return requests.hasOpenRequest(id);
    }

    /**
     * Accepts a request.
     *
     * @param received the request as it was read from the client's connection
     * @param waitedMicros how much of its timeout has passed since it was read
     * @param client receives the one final response, unless it disconnects first; possibly before this method returns
     */
    public Exchange submit(ProxyRequest received, long waitedMicros, ResponseListener client) {
        long nowMicros = loop.now();
        ProxyRequest request = received.withReducedTimeout(waitedMicros);
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

    /** Rejects a request without routing it, and returns the response. */
    public Response reject(ProxyRequest request, GiveUpReason reason) {
        Response response = new Response.Rejected(0);
        counters.requestAccepted();
        counters.requestGivenUp(reason);
        counters.requestCompleted(request.requestClass(), response);
        return response;
    }

    /** Abandons the request of a client that has disconnected. Does nothing if the exchange is over. */
    public void clientDisconnected(Exchange exchange) {
        completion.clientDisconnected(exchange);
    }

    /** Sends a serving host a statement that releases a client's resources, and discards the reply. */
    public void release(String host, Statement statement) {
        if (endpoints.isServing(host)) {
            long untilMicros = loop.now() + RELEASE_TIMEOUT_MICROS;
            backend.send(host, statement, untilMicros, untilMicros, reply -> {});
        }
    }

    /**
     * Schedules the shutdown of this process: requests that arrive after {@code fromMicros}, and all requests that are
     * in flight at {@code byMicros}, receive their final response by {@code byMicros}.
     */
    public void drainBy(long fromMicros, long byMicros) {
        drainingFromMicros = fromMicros;
        drainedByMicros = byMicros;
        loop.at(byMicros, () -> driver.execute(router.shutDown(loop.now())));
    }

    /**
     * Returns the timeout for a request that arrives now: that of its client, limited to the time left to drain.
     *
     * @param timeoutMicros how long the client waits for the response
     */
    public long effectiveTimeoutMicros(long timeoutMicros) {
        long nowMicros = loop.now();
        if (nowMicros < drainingFromMicros) {
            return timeoutMicros;
        }
        return Math.max(1, Math.min(timeoutMicros, drainedByMicros - nowMicros));
    }

    /**
     * Applies new settings, as {@link RequestRouter#applySettings} does.
     *
     * @throws RuntimeException if the settings are invalid
     */
    public void applySettings(InstanceSettings settings) {
        settings.classIndexes.keySet().forEach(counters::addRequestClass);
        driver.execute(router.applySettings(loop.now(), settings));
    }

    /** Applies a change of the fleet size. */
    public void fleetSizeChanged(RouterEvent.FleetSizeChanged event) {
        driver.handle(loop.now(), event);
    }

    /**
     * Applies a snapshot or a delta of the endpoint list.
     *
     * @param cached whether it is the cached list of an earlier run
     */
    public void endpointsUpdated(EndpointList list, boolean cached) {
        endpoints.update(list);
        backend.endpointsUpdated(list);
        driver.handle(loop.now(), new RouterEvent.EndpointsUpdated(list, cached));
        // Connecting can take longer than the period in which a draining host may still be sent requests.
        backend.failQueuedForUnavailableHosts();
    }

    /** Adds the metrics of requests and hosts to a snapshot. */
    public void addTo(MetricsSnapshot.Builder snapshot) {
        metrics.addTo(snapshot);
    }
}
