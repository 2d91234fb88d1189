package mintstair.proxy;

import mintstair.request.HostReply;
import mintstair.routing.RouterEvent;
import mintstair.stats.Counters;

/** Sends health checks to the hosts and passes their results to the router. Used on the event loop only. */
final class HealthCheckSender {
    private final EventLoop loop;
    private final RouterDriver driver;
    private final Backend backend;
    private final Counters counters;

    HealthCheckSender(EventLoop loop, RouterDriver driver, Backend backend, Counters counters) {
        this.loop = loop;
        this.driver = driver;
        this.backend = backend;
        this.counters = counters;
    }

    void send(String host) {
        long sentAtMicros = loop.now();
        counters.healthCheckSent();
        backend.sendHealthCheck(host, reply -> ended(host, sentAtMicros, reply));
    }

    private void ended(String host, long sentAtMicros, HostReply reply) {
        long nowMicros = loop.now();
        driver.handle(
                nowMicros,
                new RouterEvent.HealthCheckEnded(host, reply.end(), nowMicros - sentAtMicros, reply.report()));
    }
}
