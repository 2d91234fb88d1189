package mintstair.registry.view;

import java.util.EnumSet;
import java.util.Random;
import java.util.Set;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.retry.Backoff;

/**
 * Which server to call next after a failure, and when. Where the fault may be one server's own, the others are tried
 * within a short random delay each, so that proxies that lost a server together do not arrive at the next one together.
 * After each round of all servers, and where the fault is the registry's, the delay backs off exponentially. Not
 * thread-safe.
 */
final class ReconnectPolicy {
    /** The server responded, so the network is up. */
    private static final Set<Reason> RESPONDED = EnumSet.of(Reason.LAGS, Reason.FOREIGN);
    /** Another server may do better. */
    private static final Set<Reason> OWN_FAULT = EnumSet.of(Reason.LAGS, Reason.FOREIGN, Reason.BROKEN, Reason.SILENT);

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

    /** Advances to the next server and returns the delay before the attempt to reach it, in microseconds. */
    long advanceAfterFailure(Reason reason, long nowMicros) {
        if (reason == Reason.LAGS) {
            servers.markCurrentLagging(nowMicros + timeouts.laggingServerMicros());
        }
        servers.advance(nowMicros);
        if (RESPONDED.contains(reason) && responses++ < servers.size()) {
            // The network is back: a new round begins, but only so often.
            failedAttempts = 0;
        }
        failedAttempts++;
        if (OWN_FAULT.contains(reason) && failedAttempts % servers.size() != 0) {
            return (long) (random.nextDouble() * timeouts.initialRetryDelayMicros());
        }
        return backoff.nextDelayMicros();
    }

    /** The registry confirmed the view: the next failure counts as the first. */
    void recordSuccess() {
        backoff.reset();
        failedAttempts = 0;
        responses = 0;
    }
}
