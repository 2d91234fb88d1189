package mintstair.decision;

import java.util.List;
import mintstair.request.ReplicationRole;

/**
 * The interface of the decision module: settings, events ({@link Router}) and actions ({@link Actions}).
 * Every time is {@code long} microseconds on the caller's clock, which never goes back; every length of
 * time is microseconds too. A position is the time up to which a host has applied all commits.
 */
public final class SplitterApi {
    private SplitterApi() {}

    /** Stands for a position, a token age or a time that is not known. */
    public static final long UNKNOWN = -1;

    /** How recent the data behind an answer must be. */
    public enum Consistency {
        EVENTUAL,
        BOUNDED_STALENESS,
        SESSION,
        STRONG,
        WRITE
    }

    /** Whether a request may run again: always, where its repeats are dropped, or never. */
    public enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENCY_KEY,
        NOT_IDEMPOTENT
    }

    /** Where the repeats of a keyed request are dropped. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        GROUP
    }

    /** What a replica does with a read for which it is too far behind. */
    public enum ReplicaReadCheck {
        NONE,
        REJECT,
        WAIT
    }

    /** How an attempt ended. */
    public enum AttemptOutcome {
        SUCCESS,
        ERROR,
        OVERLOADED,
        TIMEOUT,
        UNREACHABLE,
        CONNECTION_RESET,
        CANCELLED,
        NOT_SENT,
        MISDIRECTED;

        /** Whether it is certain that the host did nothing for it. */
        public boolean hadNoEffect() {
            return this == OVERLOADED || this == UNREACHABLE || this == NOT_SENT || this == MISDIRECTED;
        }
    }

    /** The state of a host as the list tells it. */
    public enum EndpointState {
        SERVING,
        DRAINING,
        REMOVED
    }

    /** What an announcement of the list holds. */
    public enum EndpointUpdateType {
        DELTA,
        SNAPSHOT,
        CACHED,
        FAILED
    }

    /** A class of requests; {@code maxStalenessMicros} counts for bounded reads, {@code deduplicationWindowMicros} for keyed requests. */
    public record RequestClass(
            String name,
            Consistency consistency,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long maxStalenessMicros,
            long latencyObjectiveMicros,
            long deadlineMicros,
            long deduplicationWindowMicros,
            double priorityWeight,
            double lateWeight) {}

    /** A tenant and the rate, over all routers, up to which its requests are worth their full worth. */
    public record Tenant(String name, double quotaPerSecond) {}

    /** The rules' figures; with {@code removalIsAdvisory} only draining binds, and a gone host may still serve. */
    public record ProtectionSettings(
            long drainGraceMicros,
            double slowStartInitialShare,
            long slowStartMicros,
            double overloadMultiple,
            long overloadSpanMicros,
            boolean removalIsAdvisory) {}

    /** What the site allows. */
    public record AttemptLimits(
            int maxAttempts,
            boolean cancellation,
            boolean healthChecks,
            boolean peerMessages,
            boolean hedging,
            boolean retryAfter,
            long maxRetryAfterMicros) {}

    /**
     * How many routers there are, as far as this one knows: the largest number seen or told, those that may
     * run and know of each other, and whether this one is {@code settled}: only if all that are so count each
     * other.
     */
    public record FleetSize(int largest, int counted, boolean settled) {}

    /** All that a router is told at its start. */
    public record RouterSettings(
            int fleetSize,
            int instanceIndex,
            String zone,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overQuotaWeight,
            boolean remembersSessionTokens,
            ReplicaReadCheck replicaReadCheck,
            boolean positionsInResponses,
            boolean listReportsRole,
            boolean subscribe,
            boolean clientsMarkRetries,
            double healthCheckCost,
            double crossZoneCost,
            ProtectionSettings protection,
            AttemptLimits limits) {}

    /** One host as listed. */
    public record EndpointEntry(
            String host,
            boolean primary,
            String zone,
            int group,
            EndpointState state,
            double size,
            // 0 where it started long ago
            long lastStart) {}

    /**
     * A request; {@code timeoutMicros} is the time until its client gives up, {@code tenant} -1 where none.
     * One that is {@code stickyHost} goes on with what its host holds: no other host can serve it, nor it twice.
     */
    public record RoutingRequest(
            long id,
            int classIndex,
            int group,
            String session,
            int tenant,
            boolean clientRetry,
            long timeoutMicros,
            long tokenAgeMicros,
            String stickyHost) {
        public RoutingRequest(
                long id,
                int classIndex,
                int group,
                String session,
                int tenant,
                boolean clientRetry,
                long timeoutMicros,
                long tokenAgeMicros) {
            this(id, classIndex, group, session, tenant, clientRetry, timeoutMicros, tokenAgeMicros, null);
        }
    }

    /** A host's report on itself; {@code position} may be {@link #UNKNOWN}. */
    public record ReplicationStatus(long position, ReplicationRole role) {}

    /** The end of one attempt; {@code finished} when the request is over with it or was before. */
    public record AttemptResult(
            long id,
            int attempt,
            String host,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean finished,
            ReplicationRole role,
            long position) {}

    /** The events. One instance serves one router; calls must not overlap. */
    public interface Router {
        /** The list of hosts, changes to it, or word that a call for it failed. */
        void onEndpoints(long now, EndpointUpdateType kind, List<EndpointEntry> entries);

        /** Other settings, from now on; open requests keep the class that they came with. */
        void onSettings(long now, RouterSettings settings);

        /** How many routers there are; where it is never told, those of the settings count. */
        void onFleetSize(long now, FleetSize fleet);

        /** A client's request, which is owed exactly one final answer. */
        void onRequest(long now, RoutingRequest request);

        /** An attempt ended. */
        void onAttemptEnded(long now, AttemptResult result);

        /** The client left; no answer is owed any more. */
        void onClientDisconnected(long now, long id);

        /** This router ends: all requests that are held are given up, each with its final answer. */
        void onShutdown(long now);

        /** A timer is due. */
        void onTimer(long now, String name);

        /** A probe ended; {@code report} is null where there is none. */
        void onHealthCheckEnded(long now, String host, AttemptOutcome outcome, long latency, ReplicationStatus report);

        /** How many hosts of the list are draining, silent or failing: they get trial requests at most. */
        int unavailableEndpoints(long now);

        /** A message of another router. */
        void onPeerMessage(long now, int from, String text);
    }

    /** The actions. */
    public interface Actions {
        /**
         * Starts an attempt, given up at {@code abandonAt} (0: when the client does), and not begun later
         * than {@code beginBy}, until when what it rests on holds ({@link Long#MAX_VALUE}: for ever).
         */
        void send(long id, String host, long abandonAt, long beginBy);

        /** Stops waiting for one attempt. */
        void cancel(long id, int attempt);

        /** Final answer: refused, a further try is harmless, best after {@code retryAfterMicros} (0: no advice). */
        void reject(long id, long retryAfterMicros);

        /** Final answer: failed, nothing promised. */
        void fail(long id);

        /** Asks a host for its report. */
        void checkHealth(String host);

        /** Asks for {@link Router#onTimer} after this long. */
        void startTimer(String name, long delayMicros);

        /** Asks the list for changes from here on. */
        void subscribe();

        /** Sends a short message to every other router. */
        void broadcast(String text);

        /** A line for the people on call. */
        void log(String text);
    }
}
