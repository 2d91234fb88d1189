package mintstair.registry.view;

import java.util.EnumSet;
import java.util.Random;
import java.util.Set;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.retry.Backoff;

/**
 * Decides which server to call after a failure, and when. If the cause may be specific to one server, each of the other
 * servers is tried after a short random delay, so that proxies that lost a server at the same time do not all call the
 * next one at the same time. After each round of all servers, and if the cause affects the whole registry, the delay
 * backs off exponentially. Not thread-safe.
 */
final class ReconnectPolicy {
    /** Failures in which the server responded, so that the network is up. */
    private static final Set<Reason> SERVER_RESPONDED = EnumSet.of(Reason.LAGS, Reason.FOREIGN);
    /** Failures that may be specific to one server, so that another server may succeed. */
    private static final Set<Reason> SERVER_SPECIFIC =
            EnumSet.of(Reason.LAGS, Reason.FOREIGN, Reason.BROKEN, Reason.SILENT);

    private static final double BACKOFF_FIXED_FRACTION = 0.05;

    private final ServerRotation servers;
    private final ViewTimeouts timeouts;
    private final Random random;
    private final Backoff backoff;
    private int failedAttempts;
    private int responses;

    ReconnectPolicy(ServerRotation servers, ViewTimeouts timeouts, Random random) {
        this.servers = servers;
        this.timeouts = timeouts;
        this.random = random;
        backoff = new Backoff(
                random, timeouts.initialRetryDelayMicros(), timeouts.maxRetryDelayMicros(), BACKOFF_FIXED_FRACTION);
    }

    /** Advances to the next server and returns the delay before the next attempt in microseconds. */
    long advanceAfterFailure(Reason reason, long nowMicros) {
        if (reason == Reason.LAGS) {
            servers.markCurrentLagging(nowMicros + timeouts.laggingServerMicros());
        }
        servers.advance(nowMicros);
        if (SERVER_RESPONDED.contains(reason) && responses++ < servers.size()) {
            // The network is up, so a new round begins. This is limited, so that the delay eventually backs off.
            failedAttempts = 0;
        }
        failedAttempts++;
        if (SERVER_SPECIFIC.contains(reason) && failedAttempts % servers.size() != 0) {
            return (long) (random.nextDouble() * timeouts.initialRetryDelayMicros());
        }
        return backoff.nextDelayMicros();
    }

    /** Records that the registry has confirmed the view, so that the next failure counts as the first. */
    void recordSuccess() {
        backoff.reset();
        failedAttempts = 0;
        responses = 0;
    }
}
