package mintstair.decision;

/** Whether a request may run again: always, where its repeats are dropped, or never. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
}
