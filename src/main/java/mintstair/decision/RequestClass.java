package mintstair.decision;

/**
 * A class of requests; {@code maxStalenessMicros} counts for bounded reads, {@code deduplicationWindowMicros} for
 * keyed requests.
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
