package mintstair.decision;

/**
 * A class of requests, as the settings define it.
 *
 * @param name the name, unique among the classes of the settings
 * @param consistency how recent the data must be that a response is based on
 * @param idempotency whether a request may be executed again
 * @param deduplicationScope the hosts that discard repeats of a request with an idempotency key
 * @param maxStalenessMicros the staleness bound of reads with bounded staleness, in microseconds
 * @param latencyObjectiveMicros the latency objective, in microseconds; above 0
 * @param deadlineMicros the time from the arrival of a request to its deadline, in microseconds
 * @param deduplicationWindowMicros how long hosts discard repeats of a request with an idempotency key, in microseconds
 * @param priorityWeight the value of a response within the latency objective, relative to other classes
 * @param lateWeight the value of a response after the latency objective; 0 if it has none
 */
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
