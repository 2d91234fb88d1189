package mintstair.decision;

/** Whether a request may be executed again. */
public enum Idempotency {
    /** It may be executed any number of times. */
    IDEMPOTENT,
    /** It carries a key by which hosts discard repeats within the deduplication window and scope. */
    IDEMPOTENCY_KEY,
    /** It must not be executed twice. */
    NOT_IDEMPOTENT
}
